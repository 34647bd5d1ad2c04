/** What a replica is built from. */
import type {
  Clock,
  Logger,
  LogStore,
  PeerNetwork,
  Random,
} from "../ports/index.ts";
import type { CommitRule } from "./commit_rule.ts";

/** Options of a replica. */
export interface ReplicaOptions {
  readonly entryId: string;
  /** Whether the store is durable; only then can the replica vote. */
  readonly hasDisk: boolean;
  /** Whether the entry is set to vote. */
  readonly wantsVote: boolean;
  /** Ids of all other entries. */
  readonly peerIds: readonly string[];
  /** Ids of the entries that vote when the deployment is new. */
  readonly initialVoterIds: readonly string[];
  /** Whether the deployment may be started anew here; true unless told. */
  readonly mayBootstrap?: boolean;
  /** Whether entries that want to vote are admitted without an operator. */
  readonly admitsMembers?: boolean;
  /**
   * How long a follower that has all entries waits to hear that they are
   * committed, in milliseconds; 0 unless followers serve from their state.
   */
  readonly commitNotificationDelayMs?: number;
  readonly commitRule: CommitRule;
  readonly store: LogStore;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}
