/** Composes an entry that passes callers' jobs to the leader. */
import { LeaderCaller, LeaderWatch } from "../../services/scheduling/index.ts";
import {
  createSchedulingBase,
  type SchedulingBase,
  type SchedulingProcessOptions,
} from "./scheduling_base.ts";

/** A running entry, without the interface that callers use. */
export interface SchedulingEntry extends SchedulingBase {
  readonly leader: LeaderCaller;
  readonly watch: LeaderWatch;
}

/**
 * Starts an entry.
 *
 * @param options - Identity, peers and logger.
 */
export function createSchedulingEntry(
  options: SchedulingProcessOptions,
): SchedulingEntry {
  const base = createSchedulingBase(options);
  const leader = new LeaderCaller({ ...base, controllerIds: options.seedIds });
  const watch = new LeaderWatch({ ...base, leader });
  base.tasks.startForever("leader watch", (signal) => watch.run(signal));
  return { ...base, leader, watch };
}
