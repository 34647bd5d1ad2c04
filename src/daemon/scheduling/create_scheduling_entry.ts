/** Composes a scheduling entry, which forwards callers' jobs to the leader. */
import {
  JobCallForwarder,
  LeaderClient,
  LeaderWatch,
} from "../../services/scheduling/index.ts";
import {
  createSchedulingBase,
  type SchedulingBase,
  type SchedulingProcessOptions,
} from "./scheduling_base.ts";
import { serveInspection } from "./serve_inspection.ts";

/** A running entry, without the HTTP interface for callers. */
export interface SchedulingEntry extends SchedulingBase {
  readonly calls: JobCallForwarder;
  readonly leader: LeaderClient;
  readonly watch: LeaderWatch;
}

/**
 * Starts an entry.
 *
 * @param options - Identity, peers, logger and inspection address.
 * @returns The running entry.
 */
export async function createSchedulingEntry(
  options: SchedulingProcessOptions,
): Promise<SchedulingEntry> {
  const base = createSchedulingBase(options, {
    role: "entry",
    readGauges: () => undefined,
    isLeading: () => false,
  });
  const leader = new LeaderClient({ ...base, controllerIds: options.seedIds });
  const watch = new LeaderWatch({ ...base, leader });
  base.tasks.startForever("leader watch", (signal) => watch.run(signal));
  const calls = new JobCallForwarder({ ...base, leader });
  await serveInspection({ base, calls, leader });
  return { ...base, calls, leader, watch };
}
