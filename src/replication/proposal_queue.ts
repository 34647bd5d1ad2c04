/** The leader's queue of proposals, appended to the log in batches. */
import { Result } from "true-myth";
import {
  type AppliedValue,
  type Command,
  countVoterChanges,
  createFailure,
  type Failure,
} from "../domain/index.ts";
import { Notifier, waitFor } from "../tasks/index.ts";
import { announceResignation } from "./election_task.ts";
import type { ReplicaCore } from "./replica_core.ts";
import {
  CALL_TIMEOUT_MS,
  MAX_BATCH_BYTES,
  MAX_BATCH_COUNT,
  PROPOSE_TIMEOUT_MS,
} from "./timing.ts";
import { estimateValueBytes } from "./value_size.ts";

/** Result of applying a proposal; after `noQuorum` it may still be applied. */
export type ProposalResult = Result<AppliedValue, Failure>;

interface PendingProposal {
  readonly command: Command;
  /** The only term in which the log may accept it; undefined for any. */
  readonly term: number | undefined;
  readonly settle: (proposed: ProposalResult) => void;
}

/** Queues proposals of this entry and of others in order of arrival. */
export class ProposalQueue {
  readonly #core: ReplicaCore;
  readonly #arrived = new Notifier();
  #pending: PendingProposal[] = [];

  constructor(core: ReplicaCore) {
    this.#core = core;
  }

  /**
   * Proposes a command while this replica leads.
   *
   * @param command - The command.
   * @param term - The only term in which it may be accepted; any by default.
   * @returns The result of applying it; `notLeader` or `readOnly` if it is
   * certainly not in the log, `noQuorum` if it may still be accepted.
   */
  async propose(command: Command, term?: number): Promise<ProposalResult> {
    let result: ProposalResult | undefined;
    const settledNotifier = new Notifier();
    const settle = (proposed: ProposalResult) => {
      result ??= proposed;
      settledNotifier.notify();
    };
    this.#pending.push({ command, term, settle });
    this.#arrived.notify();
    await waitFor({
      clock: this.#core.options.clock,
      notifier: settledNotifier,
      timeoutMs: PROPOSE_TIMEOUT_MS,
      signal: this.#core.stopSignal,
      isMet: () => result !== undefined,
    });
    return result ?? Result.err(createNoQuorumFailure());
  }

  /** Waits, for a limited time, until every proposal is committed. */
  async drain(): Promise<void> {
    const core = this.#core;
    await waitFor({
      clock: core.options.clock,
      notifier: core.changed,
      timeoutMs: CALL_TIMEOUT_MS,
      isMet: () =>
        this.#pending.length === 0 &&
        core.commitIndex === core.log.last.index,
    });
  }

  /**
   * Appends proposals in batches, one sync to disk per batch. Proposals that
   * arrive during a sync, or within the batch interval, form the next batch.
   *
   * @param signal - Stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, batchIntervalMs = 0 } = this.#core.options;
    while (!signal.aborted) {
      if (this.#pending.length === 0) {
        await this.#arrived.wait(signal);
      }
      const nextBatchAtMs = clock.monotonicMs() + batchIntervalMs;
      await this.#core.mutex.run(() => this.#appendBatch());
      const leftMs = nextBatchAtMs - clock.monotonicMs();
      if (leftMs > 0) {
        await clock.sleep(leftMs, signal);
      }
    }
  }

  async #appendBatch(): Promise<void> {
    const core = this.#core;
    const batch = this.#takeBatch();
    const { leadership } = core;
    if (leadership === undefined) {
      failAll(batch, core.createNotLeaderFailure());
      return;
    }
    const accepted = this.#rejectConflictingMemberships(
      this.#rejectOtherTerms(batch, leadership.term),
    );
    const entries = core.createLogEntries(
      accepted.map(({ command }) => command),
    );
    const appended = await core.log.append(entries);
    if (appended.isErr) {
      failAll(accepted, appended.error);
      core.resignOnDiskFailure(appended.error);
      void announceResignation(core, leadership.term);
      return;
    }
    entries.forEach(({ index }, at) => {
      const proposal = accepted[at];
      if (proposal !== undefined) {
        leadership.onApplied(index, proposal.settle);
      }
    });
    leadership.advanceCommit();
    core.changed.notify();
  }

  #takeBatch(): readonly PendingProposal[] {
    let count = 0;
    let sizeBytes = 0;
    for (const { command } of this.#pending.slice(0, MAX_BATCH_COUNT)) {
      if (sizeBytes > MAX_BATCH_BYTES) {
        break;
      }
      sizeBytes += estimateValueBytes(command);
      count += 1;
    }
    return this.#pending.splice(0, count);
  }

  // Proposals wait here while a term ends and another one begins.
  #rejectOtherTerms(
    batch: readonly PendingProposal[],
    leaderTerm: number,
  ): readonly PendingProposal[] {
    const failure = this.#core.createNotLeaderFailure();
    return batch.filter(({ term = leaderTerm, settle }) => {
      if (term !== leaderTerm) {
        settle(Result.err(failure));
      }
      return term === leaderTerm;
    });
  }

  // Only one membership change may be in progress, so a batch holds at most one.
  #rejectConflictingMemberships(
    batch: readonly PendingProposal[],
  ): readonly PendingProposal[] {
    let hasMembership = false;
    return batch.filter(({ command, settle }) => {
      const failure = this.#findMembershipFailure(command, hasMembership);
      hasMembership ||= command.type === "membership";
      if (failure !== undefined) {
        settle(Result.err(failure));
      }
      return failure === undefined;
    });
  }

  #findMembershipFailure(
    command: Command,
    hasMembership: boolean,
  ): Failure | undefined {
    if (command.type !== "membership") {
      return undefined;
    }
    const { log, commitIndex, leadership } = this.#core;
    const isChangeInProgress = hasMembership ||
      log.membershipIndex > commitIndex ||
      leadership?.isEstablished !== true;
    if (isChangeInProgress) {
      return createMembershipConflict("an earlier change is not committed yet");
    }
    if (command.voters.length === 0) {
      return createMembershipConflict("no voter would remain");
    }
    return countVoterChanges(log.membership, command) > 1
      ? createMembershipConflict("the change affects more than one voter")
      : undefined;
  }
}

function failAll(batch: readonly PendingProposal[], failure: Failure): void {
  for (const { settle } of batch) {
    settle(Result.err(failure));
  }
}

function createMembershipConflict(reason: string): Failure {
  return createFailure(
    "conflict",
    `the membership was not changed: ${reason}`,
    {
      remedy:
        "change one voter at a time and wait until each change is committed",
    },
  );
}

/** Creates the failure of a proposal that may still be accepted. */
export function createNoQuorumFailure(): Failure {
  return createFailure(
    "noQuorum",
    "no quorum of voters confirmed the proposal in time",
    { remedy: "send the request again with the same operation id" },
  );
}
