/** @file
 * Lease expiry: proves by elapsed time that a worker has ended its tasks (safety rule 2).
 */
#ifndef OW_CORE_MACHINES_LEASE_EXPIRY_H
#define OW_CORE_MACHINES_LEASE_EXPIRY_H

struct ow_leader;
struct ow_machine;

/** Ends every attempt on the machine if the lease of its worker's incarnation has expired even on the
 * slowest clock within the assumed drift, and marks the incarnation as over. The machine stays registered. */
void ow_lease_expiry_check(struct ow_leader *leader, struct ow_machine *machine);

#endif
