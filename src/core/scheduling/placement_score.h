/** @file
 * Score: how well a machine suits a task; lower is better (the cost by which docs/design/paper.md selects
 * the cheapest candidate).
 *
 * Input: an execution and a machine that passed the filter. Result: a sum in seconds. Invariant: it is only
 * compared with scores of the same execution. The terms, in the order in which they are added:
 *
 * | term         | when it counts                                  | amount                                 |
 * |--------------|-------------------------------------------------|----------------------------------------|
 * | image fetch  | the machine lacks the image                     | s until the image is there             |
 * | slowness     | runs there took clearly longer than expected    | s that this run would take longer      |
 * | GPU waste    | it has GPUs; the job needs none and is more     | 20 s                                   |
 * |              | urgent than rank low and every GPU job          |                                        |
 * | gang demand  | a more urgent class of gangs needs most of it   | 15 s                                   |
 * |              | for one task                                    |                                        |
 * | spot risk    | a spot machine, and a deadline that can be met  | chance of a reclaim times s lost by it |
 * | rent         | always                                          | price per hour; 1 counts as 1 s        |
 * | tightest fit | always                                          | share of CPUs left; 1 counts as 1 s    |
 */
#ifndef OW_CORE_SCHEDULING_PLACEMENT_SCORE_H
#define OW_CORE_SCHEDULING_PLACEMENT_SCORE_H

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** The score, in seconds, of running a task of the execution on the machine, whose type must be known.
 * Lower is better. */
double ow_placement_score_s(const struct ow_leader *leader, const struct ow_execution *execution,
                            const struct ow_machine *machine);

#endif
