/** @file
 * Price filter: low-ranked work without SLOs waits for cheap machines before it takes expensive ones.
 *
 * Input: an execution, or a machine and the classes that have SLOs. Result: whether expensive machines are
 * left out for now. Invariant: no execution waits for cheap machines longer than a fixed time.
 */
#ifndef OW_CORE_SCHEDULING_PRICE_FILTER_H
#define OW_CORE_SCHEDULING_PRICE_FILTER_H

#include <stdbool.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** Whether the execution's tasks are to be placed on cheap machines only, for now. */
bool ow_price_filter_applies(const struct ow_leader *leader, const struct ow_execution *execution);
/** Whether the machine is rented at the full price although its type is offered at a lower spot price, and
 * no class with SLOs makes proper use of it. Its type must be known. */
bool ow_price_filter_is_expensive(const struct ow_leader *leader, const struct ow_machine *machine);

#endif
