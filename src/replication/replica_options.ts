/** Options from which a replica is built. */
import type {
  Clock,
  Logger,
  LogStore,
  PeerNetwork,
  Random,
} from "../ports/index.ts";
import type { CommitRule } from "./commit_rule.ts";

/** Ports and settings of a replica. */
export interface ReplicaOptions {
  readonly entryId: string;
  /** Whether the store is durable; a replica without a durable store never votes. */
  readonly hasDisk: boolean;
  /** Whether the entry is configured to become a voter. */
  readonly wantsVote: boolean;
  /** Ids of all other entries. */
  readonly peerIds: readonly string[];
  /** Ids of the first voters of a new deployment. */
  readonly initialVoterIds: readonly string[];
  /** Whether this entry may bootstrap a new deployment; true by default. */
  readonly mayBootstrap?: boolean;
  /**
   * Whether the leader admits configured voters, and replaces lost ones, without
   * an operator; false by default.
   */
  readonly admitsMembers?: boolean;
  /**
   * How long the leader may delay a response that reports only a new commit
   * index, in milliseconds. The default is 0; a delay saves responses where
   * followers do not serve from their state.
   */
  readonly commitNotificationDelayMs?: number;
  /**
   * Least time between two batches that the leader appends, in milliseconds.
   * The default is 0. Each batch costs the leader a message to and from every
   * follower, however few changes it carries.
   */
  readonly batchIntervalMs?: number;
  /**
   * Number of applied log entries after which a snapshot is saved; by default
   * `SNAPSHOT_INTERVAL_COUNT`.
   */
  readonly snapshotIntervalCount?: number;
  /**
   * Number of log entries that stay in memory although a snapshot covers them;
   * by default `TRAILING_ENTRY_COUNT`.
   */
  readonly trailingEntryCount?: number;
  readonly commitRule: CommitRule;
  readonly store: LogStore;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}
