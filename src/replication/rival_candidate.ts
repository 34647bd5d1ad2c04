/** The candidate that a replica lets go first. */
import type { LogPosition } from "./replica_log.ts";

/** Another candidate that this replica would vote for. */
export interface RivalCandidate {
  readonly entryId: string;
  readonly last: LogPosition;
  /** Steady time at which it was promised the vote (ms). */
  readonly promisedAtMs: number;
}
