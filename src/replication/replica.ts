/** One replica of the durable state, which implements the agreement port. */
import type { Result } from "true-myth";
import type {
  AppliedValue,
  Command,
  Failure,
  FleetState,
} from "../domain/index.ts";
import type {
  Agreement,
  AgreementStatus,
  EntryDirectory,
  EntryList,
  StoredLog,
  VoterChange,
} from "../ports/index.ts";
import { Notifier, type TaskGroup } from "../tasks/index.ts";
import { startDeployment } from "./bootstrap_task.ts";
import { announceResignation, ElectionTask } from "./election_task.ts";
import { EntryLister } from "./entry_lister.ts";
import { LeaderTask } from "./leader_task.ts";
import { METHODS } from "./messages.ts";
import { ProposalQueue } from "./proposal_queue.ts";
import { Proposer } from "./proposer.ts";
import { PullHandler } from "./pull_handler.ts";
import { PullTask } from "./pull_task.ts";
import { ReplicaCore } from "./replica_core.ts";
import type { ReplicaOptions } from "./replica_options.ts";
import { SnapshotTask } from "./snapshot_task.ts";
import { FRESHNESS_LEASE_MS } from "./timing.ts";
import { VoterChanger } from "./voter_changer.ts";
import { VoteHandler } from "./vote_handler.ts";

/** A voter, learner or observer; the membership in the log decides which. */
export class Replica implements Agreement, EntryDirectory {
  readonly #core: ReplicaCore;
  readonly #queue: ProposalQueue;
  readonly #proposer: Proposer;
  readonly #lister: EntryLister;
  readonly #voterChanger: VoterChanger;

  /**
   * @param options - Ports and settings.
   * @param stored - Contents of the store.
   */
  constructor(options: ReplicaOptions, stored: StoredLog) {
    this.#core = new ReplicaCore(options, stored);
    this.#queue = new ProposalQueue(this.#core);
    this.#proposer = new Proposer(this.#core, this.#queue);
    this.#lister = new EntryLister(this.#core);
    this.#voterChanger = new VoterChanger(
      this.#core,
      this.#queue,
      this.#lister,
    );
    this.#addHandlers();
  }

  /**
   * Creates a replica from the contents of its store.
   *
   * @param options - Ports and settings.
   * @returns The replica, which is idle until it is started, or the failure of
   * the store.
   */
  static async load(
    options: ReplicaOptions,
  ): Promise<Result<Replica, Failure>> {
    const stored = await options.store.load();
    return stored.map((log) => new Replica(options, log));
  }

  get state(): FleetState {
    return this.#core.state;
  }

  /**
   * Starts the tasks of the replica.
   *
   * @param tasks - The group that runs and stops them.
   */
  start(tasks: TaskGroup): void {
    const core = this.#core;
    core.stopSignal = tasks.signal;
    const pulls = new PullTask(core);
    const elections = new ElectionTask(core);
    const leader = new LeaderTask(core, this.#queue);
    const snapshots = new SnapshotTask(core);
    tasks.start("store", (signal) => this.#closeOnAbort(signal));
    tasks.start("bootstrap", (signal) => startDeployment(core, signal));
    tasks.startForever("pull", (signal) => pulls.run(signal));
    tasks.startForever("election", (signal) => elections.run(signal));
    tasks.startForever("proposals", (signal) => this.#queue.run(signal));
    tasks.startForever("leader", (signal) => leader.run(signal));
    tasks.startForever("snapshots", (signal) => snapshots.run(signal));
  }

  propose(
    command: Command,
    signal?: AbortSignal,
  ): Promise<Result<AppliedValue, Failure>> {
    return this.#proposer.propose(command, signal);
  }

  proposeInTerm(
    term: number,
    command: Command,
  ): Promise<Result<AppliedValue, Failure>> {
    return this.#queue.propose(command, term);
  }

  async follow(
    appliedIndex: number,
    signal: AbortSignal,
  ): Promise<AgreementStatus> {
    const core = this.#core;
    while (core.appliedIndex <= appliedIndex && !signal.aborted) {
      await core.changed.wait(signal);
    }
    return this.status();
  }

  status(): AgreementStatus {
    const core = this.#core;
    const { leadership } = core;
    return {
      entryId: core.self.entryId,
      leaderId: core.leaderId,
      term: core.term,
      leaderSinceMs: leadership?.hasLease ? leadership.sinceMs : undefined,
      leaseAgeMs: leadership?.leaseAgeMs,
      appliedIndex: core.appliedIndex,
      commitIndex: core.commitIndex,
      revision: core.state.revision,
      freshUntilMs: this.#computeFreshUntil(),
    };
  }

  /**
   * Lists the other voters that have pulled lately.
   *
   * @returns Their entry ids, sorted; none while this replica does not lead.
   */
  listRunningVoterIds(): readonly string[] {
    return this.#core.leadership?.listRunningVoterIds() ?? [];
  }

  listEntries(): Promise<Result<EntryList, Failure>> {
    return this.#lister.list();
  }

  changeVoter(change: VoterChange): Promise<Result<EntryList, Failure>> {
    return this.#voterChanger.change(change);
  }

  /** Lets another voter take over before a planned stop, if this replica leads. */
  async transferLeadership(): Promise<void> {
    const core = this.#core;
    const isOnlyVoter = core.log.membership.voters.length === 1;
    const { leadership } = core;
    if (leadership === undefined || isOnlyVoter) {
      return;
    }
    await this.#queue.drain();
    await core.mutex.run(() =>
      Promise.resolve(core.resign("the entry is shutting down"))
    );
    await announceResignation(core, leadership.term);
  }

  async #closeOnAbort(signal: AbortSignal): Promise<void> {
    const { mutex, options } = this.#core;
    await new Notifier().wait(signal);
    await mutex.run(() => options.store.close());
  }

  /** Closes the store; to be called once the replica's tasks have ended. */
  async close(): Promise<void> {
    await this.#core.options.store.close();
  }

  #computeFreshUntil(): number {
    const { leadership, freshness } = this.#core;
    return leadership?.isEstablished
      ? Math.max(
        freshness.untilMs,
        leadership.confirmedAtMs + FRESHNESS_LEASE_MS,
      )
      : freshness.untilMs;
  }

  #addHandlers(): void {
    const core = this.#core;
    const { network } = core.options;
    const pulls = new PullHandler(core);
    const votes = new VoteHandler(core);
    network.handle(METHODS.pull, (peer, body) => pulls.handlePull(peer, body));
    network.handle(
      METHODS.snapshotPart,
      (_peer, body) => Promise.resolve(pulls.readSnapshotPart(body)),
    );
    network.handle(
      METHODS.vote,
      (peer, body) => votes.handleVoteRequest(peer, body),
    );
    network.handle(
      METHODS.announce,
      (peer, body) => votes.handleAnnouncement(peer, body),
    );
    network.handle(
      METHODS.resign,
      (peer, body) => Promise.resolve(votes.handleResignation(peer, body)),
    );
    network.handle(METHODS.probe, () => Promise.resolve(votes.handleProbe()));
    network.handle(
      METHODS.propose,
      (_peer, body) => this.#proposer.handleForwarded(body),
    );
    network.handle(
      METHODS.entries,
      () => Promise.resolve(this.#lister.createList()),
    );
    network.handle(
      METHODS.changeVoter,
      (_peer, body) => this.#voterChanger.handleForwarded(body),
    );
  }
}
