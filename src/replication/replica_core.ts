/** State that the tasks of one replica share: term, log, applied state, leader. */
import { setMaxListeners } from "node:events";
import { Result } from "true-myth";
import {
  type Command,
  createFailure,
  type Failure,
  FleetState,
  includesMember,
  type Member,
} from "../domain/index.ts";
import type {
  LogEntry,
  StoredLog,
  StoredSnapshot,
  VoteRecord,
} from "../ports/index.ts";
import { Mutex, Notifier } from "../tasks/index.ts";
import { FreshnessLease } from "./freshness_lease.ts";
import { Leadership } from "./leadership.ts";
import { ReplicaLog } from "./replica_log.ts";
import type { ReplicaOptions } from "./replica_options.ts";
import type { RivalCandidate } from "./rival_candidate.ts";
import {
  DISK_COOLDOWN_MS,
  FIRST_TERM,
  RESIGNATION_COOLDOWN_MS,
} from "./timing.ts";

/** Term, vote, log and applied state of a replica. */
export class ReplicaCore {
  readonly options: ReplicaOptions;
  readonly log: ReplicaLog;
  readonly self: Member;
  /** Held while the term, the vote or the log changes. */
  readonly mutex = new Mutex();
  /** Notified whenever any of this state has changed. */
  readonly changed = new Notifier();
  readonly freshness = new FreshnessLease();
  /** The applied state; a snapshot from the leader replaces the whole object. */
  state: FleetState;
  term: number;
  votedFor: string | undefined;
  leaderId: string | undefined;
  leadership: Leadership | undefined;
  /**
   * Steady time from which the election timeout counts, in milliseconds: the
   * start of the replica, its last contact with a leader, or its last step-down
   * as leader. A granted vote and the resignation of the leader move it, so that
   * only part of the timeout remains. The leader's lease relies on this time, so
   * it must not end early.
   */
  lastContactMs: number;
  /** Steady time before which this replica starts no election (ms). */
  resignedUntilMs = -Infinity;
  /** The candidate of the newest pre-vote that this replica has granted. */
  rival: RivalCandidate | undefined;
  commitIndex: number;
  appliedIndex: number;
  /** Aborts when the entry stops. */
  stopSignal: AbortSignal | undefined;
  #leaderChange = createLeaderController();

  /**
   * @param options - Ports and settings.
   * @param stored - Contents of the store.
   */
  constructor(options: ReplicaOptions, stored: StoredLog) {
    const { vote, snapshot } = stored;
    this.options = options;
    this.log = new ReplicaLog(
      options.store,
      stored,
      options.trailingEntryCount,
    );
    this.self = { entryId: options.entryId, storeId: vote.storeId };
    this.state = snapshot === undefined
      ? new FleetState()
      : FleetState.restore(snapshot.state);
    this.term = Math.max(vote.term, this.log.last.term);
    this.votedFor = vote.term === this.term ? vote.votedFor : undefined;
    // Before the restart this voter may have confirmed a leader, whose lease relies
    // on the full election timeout.
    this.lastContactMs = options.clock.steadyMs();
    this.commitIndex = snapshot?.index ?? 0;
    this.appliedIndex = this.commitIndex;
  }

  /** Aborts when the followed leader changes or is lost. */
  get leaderSignal(): AbortSignal {
    return this.#leaderChange.signal;
  }

  /** Ids of all other entries named in the settings or the membership. */
  get peerIds(): readonly string[] {
    const { voters, learners } = this.log.membership;
    const memberIds = [...voters, ...learners].map(({ entryId }) => entryId);
    const ids = new Set([...this.options.peerIds, ...memberIds]);
    ids.delete(this.self.entryId);
    return [...ids];
  }

  /**
   * Whether the data folder holds no log entry, and no vote but the one with which
   * this entry was about to bootstrap the deployment. The term of that vote may
   * have reached other entries as well.
   */
  get isBlank(): boolean {
    const hasVotedForOther = this.votedFor !== undefined &&
      this.votedFor !== this.self.entryId;
    return this.term <= FIRST_TERM && !hasVotedForOther &&
      this.log.last.index === 0;
  }

  /** Whether this entry may bootstrap a new deployment. */
  get mayBootstrap(): boolean {
    return this.options.mayBootstrap ?? true;
  }

  /** Whether this replica is a voter in the newest membership of its log. */
  get isVoter(): boolean {
    return includesMember(this.log.membership.voters, this.self);
  }

  /**
   * Follows a leader, unless its term is older than the local one or this replica
   * leads.
   *
   * @param term - The leader's term.
   * @param leaderId - The leader.
   * @returns Whether the leader is followed.
   */
  async follow(term: number, leaderId: string): Promise<boolean> {
    if (term > this.term) {
      await this.mutex.run(() => this.raiseTerm(term));
    }
    if (term !== this.term || this.leadership !== undefined) {
      return false;
    }
    this.lastContactMs = this.options.clock.steadyMs();
    this.setLeader(leaderId);
    return true;
  }

  /**
   * Adopts a newer term and stops leading; call it under the mutex.
   *
   * @param term - A term; ignored unless it is newer than the local one.
   */
  async raiseTerm(term: number): Promise<void> {
    if (term <= this.term) {
      return;
    }
    this.term = term;
    this.votedFor = undefined;
    this.stepDown(`term ${term} began`);
    this.setLeader(undefined);
    // On a full disk the term is kept in memory only: only votes must be durable.
    await this.saveVote();
  }

  /**
   * Starts the next term with a vote for this replica; call it under the mutex.
   *
   * A term that is not durable must not become visible: the other voters would
   * depose their leader for a candidate that cannot lead.
   *
   * @returns Whether the term began; false when the disk rejected the vote.
   */
  async startTerm(): Promise<boolean> {
    const term = this.term + 1;
    const votedFor = this.self.entryId;
    const saved = await this.saveVote({ term, votedFor });
    if (saved.isErr) {
      this.resignOnDiskFailure(saved.error);
      return false;
    }
    this.term = term;
    this.votedFor = votedFor;
    this.setLeader(undefined);
    return true;
  }

  /**
   * Saves a term and a vote durably; call it under the mutex.
   *
   * @param vote - By default the present term and vote.
   * @returns Nothing, or the failure of the disk.
   */
  async saveVote(
    vote: Pick<VoteRecord, "term" | "votedFor"> = this,
  ): Promise<Result<void, Failure>> {
    const { term, votedFor } = vote;
    const { storeId } = this.self;
    const saved = await this.options.store.saveVote({
      term,
      votedFor,
      storeId,
    });
    if (saved.isErr) {
      this.options.logger.warn(
        { failure: saved.error },
        "saving a vote failed",
      );
    }
    return saved;
  }

  /** Sets the followed leader, or undefined if there is none. */
  setLeader(leaderId: string | undefined): void {
    if (leaderId === this.leaderId) {
      return;
    }
    this.leaderId = leaderId;
    const previousController = this.#leaderChange;
    this.#leaderChange = createLeaderController();
    previousController.abort();
    this.changed.notify();
  }

  /**
   * Starts to lead the current term; call it under the mutex.
   *
   * @param commands - Commands that open the term in the log.
   */
  async becomeLeader(commands: readonly Command[]): Promise<void> {
    const entries = this.createLogEntries(commands);
    const appended = await this.log.append(entries);
    if (appended.isErr) {
      this.resignOnDiskFailure(appended.error);
      return;
    }
    this.leadership = new Leadership(this);
    this.setLeader(this.self.entryId);
    this.options.logger.info({ term: this.term }, "leads a new term");
    this.leadership.advanceCommit();
    this.changed.notify();
  }

  /**
   * Creates log entries that continue the log.
   *
   * @param commands - Commands in order.
   * @returns Log entries of the current term.
   */
  createLogEntries(commands: readonly Command[]): LogEntry[] {
    const { term } = this;
    const firstIndex = this.log.last.index + 1;
    return commands.map((command, at) => ({
      index: firstIndex + at,
      term,
      command,
    }));
  }

  /** Stops leading, if this replica leads. */
  stepDown(reason: string): void {
    const { leadership } = this;
    if (leadership === undefined) {
      return;
    }
    this.leadership = undefined;
    this.lastContactMs = this.options.clock.steadyMs();
    this.options.logger.warn({ term: leadership.term, reason }, "steps down");
    this.setLeader(undefined);
    leadership.failPendingProposals();
    this.changed.notify();
  }

  /**
   * Stops leading, and starts no election for a while.
   *
   * @param reason - Why, for the log.
   * @param cooldownMs - Time without an election of its own, in milliseconds.
   */
  resign(reason: string, cooldownMs = RESIGNATION_COOLDOWN_MS): void {
    this.resignedUntilMs = this.options.clock.steadyMs() + cooldownMs;
    this.stepDown(reason);
  }

  /**
   * Resigns because the disk rejected log entries or a vote. The next election
   * of this replica starts with another write, so it needs no long pause.
   */
  resignOnDiskFailure(failure: Failure): void {
    this.options.logger.error({ failure }, "the disk rejected log entries");
    this.resign(failure.message, DISK_COOLDOWN_MS);
  }

  /**
   * Raises the commit index and applies the log up to it.
   *
   * @param index - Index of the last log entry that is known to be committed.
   */
  advanceCommit(index: number): void {
    this.commitIndex = Math.max(this.commitIndex, index);
    while (this.appliedIndex < this.commitIndex) {
      const entry = this.log.find(this.appliedIndex + 1);
      if (entry === undefined) {
        break;
      }
      const applied = this.state.apply(entry.command);
      this.appliedIndex = entry.index;
      this.leadership?.settle(entry.index, applied);
    }
    this.freshness.extend(this.appliedIndex);
    this.changed.notify();
  }

  /**
   * Replaces log and state with a newer snapshot; call it under the mutex.
   *
   * @param snapshot - The snapshot from the leader.
   * @returns Nothing, or the failure of the disk.
   */
  async installSnapshot(
    snapshot: StoredSnapshot,
  ): Promise<Result<void, Failure>> {
    if (snapshot.index <= this.appliedIndex) {
      return Result.ok(undefined);
    }
    const installed = await this.log.installSnapshot(snapshot);
    if (installed.isOk) {
      this.state = FleetState.restore(snapshot.state);
      this.appliedIndex = snapshot.index;
      this.advanceCommit(snapshot.index);
    }
    return installed;
  }

  /** Creates the failure of a message that only the leader can handle. */
  createNotLeaderFailure(): Failure {
    const { leaderId, term } = this;
    return createFailure(
      "notLeader",
      `entry ${this.self.entryId} is not the leader; the leader is ${
        leaderId ?? "unknown"
      }`,
      {
        remedy: "send the request to the leader, or wait until one is elected",
        detail: { leaderId, term },
      },
    );
  }
}

// Every call to the leader listens to this signal, so the listener limit is lifted.
function createLeaderController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}
