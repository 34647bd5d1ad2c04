/** The follower's task: pulls from the leader, and finds the leader. */
import { Result } from "true-myth";
import { createFailure, type Failure, validateWith } from "../domain/index.ts";
import type { LogEntry } from "../ports/index.ts";
import {
  leaderHintSchema,
  METHODS,
  type Pull,
  type PullAnswer,
  pullAnswerSchema,
} from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import type { LogPosition } from "./replica_log.ts";
import { fetchSnapshot } from "./snapshot_transfer.ts";
import {
  DISCOVERY_TIMEOUT_MS,
  HURRY_BELOW_MS,
  PULL_TIMEOUT_MS,
  READ_ONLY_DELAY_MS,
  RETRY_DELAY_MS,
} from "./timing.ts";

type EntriesAnswer = Extract<PullAnswer, { type: "entries" }>;

/** Pulls entries from the leader, one answer after the other. */
export class PullTask {
  readonly #core: ReplicaCore;
  #attemptCount = 0;
  /** Term whose leader is known to agree up to `#matched`. */
  #matchedTerm = 0;
  #matched: LogPosition | undefined;
  #echoTerm = 0;
  #echoMs = 0;
  #hint: string | undefined;

  constructor(core: ReplicaCore) {
    this.#core = core;
  }

  /**
   * Pulls while this replica does not lead.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const core = this.#core;
    const { clock, logger } = core.options;
    while (!signal.aborted) {
      const leaderId = this.#chooseLeader();
      if (core.leadership !== undefined || leaderId === undefined) {
        await core.changed.wait(signal);
        continue;
      }
      const wasFollowed = core.leaderId === leaderId;
      const pulled = await this.#pull(leaderId);
      if (pulled.isErr && !signal.aborted) {
        logger.debug({ leaderId, failure: pulled.error }, "a pull failed");
        if (wasFollowed) {
          this.#loseLeader(pulled.error, leaderId);
        }
        await clock.sleep(this.#reactTo(pulled.error), signal);
      }
    }
  }

  #chooseLeader(): string | undefined {
    const { log, leaderId, self, options } = this.#core;
    const hint = this.#hint;
    this.#hint = undefined;
    if (leaderId !== undefined || hint !== undefined) {
      return leaderId ?? hint;
    }
    const voterIds = log.membership.voters.map(({ entryId }) => entryId);
    const known = voterIds.length > 0 ? voterIds : options.initialVoterIds;
    const others = known.filter((entryId) => entryId !== self.entryId);
    // An entry that was away may know none of the voters of today.
    const candidates = [...others, ...this.#core.peerIds];
    this.#attemptCount += 1;
    return candidates[this.#attemptCount % Math.max(1, candidates.length)];
  }

  // A question that was asked before its peer was elected says nothing of it:
  // the announcement of the new leader has ended it.
  #loseLeader(failure: Failure, leaderId: string): void {
    const isLost = failure.kind === "notLeader" ||
      failure.kind === "peerUnreachable";
    if (isLost && this.#core.leaderId === leaderId) {
      this.#core.setLeader(undefined);
    }
  }

  #reactTo(failure: Failure): number {
    const core = this.#core;
    if (failure.kind === "readOnly") {
      core.options.logger.error({ failure }, "the disk refuses entries");
      return READ_ONLY_DELAY_MS;
    }
    const hint = validateWith(leaderHintSchema, failure.detail, {
      subject: "hint",
    });
    if (failure.kind === "notLeader" && hint.isOk) {
      const isUsable = hint.value.term >= core.term &&
        hint.value.leaderId !== core.self.entryId;
      this.#hint = isUsable ? hint.value.leaderId : undefined;
    }
    return RETRY_DELAY_MS;
  }

  async #pull(leaderId: string): Promise<Result<void, Failure>> {
    const core = this.#core;
    const { network } = core.options;
    const isKnown = core.leaderId === leaderId;
    const prev = this.#choosePrevious();
    const pull = this.#createPull(prev, !isKnown);
    const answered = await network.call(leaderId, METHODS.pull, pull, {
      timeoutMs: isKnown ? PULL_TIMEOUT_MS : DISCOVERY_TIMEOUT_MS,
      signal: core.leaderSignal,
    });
    const answer = answered.andThen((body) =>
      validateWith(pullAnswerSchema, body, { subject: "answer to a pull" })
    );
    if (answer.isErr) {
      return Result.err(answer.error);
    }
    if (!await core.follow(answer.value.term, leaderId)) {
      return Result.err(createOutdated(leaderId));
    }
    return await this.#take(leaderId, prev, answer.value);
  }

  #choosePrevious(): LogPosition {
    const { log, term } = this.#core;
    const isValid = this.#matchedTerm === term;
    return isValid && this.#matched !== undefined ? this.#matched : log.last;
  }

  #createPull(prev: LogPosition, isDiscovery: boolean): Pull {
    const { term, self, options, commitIndex, state, freshness } = this.#core;
    const askMs = options.clock.monotonicMs();
    return {
      term,
      storeId: self.storeId,
      hasDisk: options.hasDisk,
      wantsVote: options.wantsVote,
      prevIndex: prev.index,
      prevTerm: prev.term,
      commitIndex,
      revision: state.revision,
      askMs,
      echoMs: this.#echoMs,
      echoTerm: this.#echoTerm,
      isHurried: isDiscovery || freshness.untilMs - askMs < HURRY_BELOW_MS,
    };
  }

  async #take(
    leaderId: string,
    prev: LogPosition,
    answer: PullAnswer,
  ): Promise<Result<void, Failure>> {
    const core = this.#core;
    this.#echoTerm = answer.term;
    this.#echoMs = answer.stampMs;
    if (answer.confirmedAskMs !== undefined) {
      core.freshness.offer(answer.confirmedAskMs, answer.commitIndex);
    }
    switch (answer.type) {
      case "entries":
        return await this.#takeEntries(prev, answer);
      case "diverged": {
        const { lastIndex, lastTerm } = answer;
        this.#setMatched(core.log.findLastUpTo(lastIndex, lastTerm));
        return Result.ok(undefined);
      }
      case "snapshot":
        return await this.#takeSnapshot(leaderId, answer);
    }
  }

  async #takeEntries(
    prev: LogPosition,
    answer: EntriesAnswer,
  ): Promise<Result<void, Failure>> {
    const core = this.#core;
    const taken = await core.mutex.run(async () => {
      if (core.term !== answer.term || core.leadership !== undefined) {
        return Result.err<void, Failure>(core.createNotLeader());
      }
      return await this.#appendNew(answer.entries);
    });
    if (taken.isErr) {
      return taken;
    }
    const last = answer.entries.at(-1) ?? prev;
    this.#setMatched({ index: last.index, term: last.term });
    core.advanceCommit(Math.min(answer.commitIndex, last.index));
    return taken;
  }

  // Entries that are held already stay: rewriting them would risk them.
  async #appendNew(
    entries: readonly LogEntry[],
  ): Promise<Result<void, Failure>> {
    const { log, commitIndex } = this.#core;
    const added = entries.filter(({ index, term }) =>
      index > log.baseIndex && log.findTerm(index) !== term
    );
    const first = added[0];
    if (first !== undefined && first.index <= commitIndex) {
      return Result.err(createContradiction(first.index));
    }
    return await log.append(added);
  }

  async #takeSnapshot(
    leaderId: string,
    answer: Extract<PullAnswer, { type: "snapshot" }>,
  ): Promise<Result<void, Failure>> {
    const core = this.#core;
    const { network, logger } = core.options;
    const fetched = await fetchSnapshot(network, leaderId, answer);
    if (fetched.isErr) {
      return Result.err(fetched.error);
    }
    const snapshot = fetched.value;
    const installed = await core.mutex.run(async () =>
      core.term === answer.term && core.leadership === undefined
        ? await core.install(snapshot)
        : Result.err<void, Failure>(core.createNotLeader())
    );
    if (installed.isOk) {
      logger.info({ index: snapshot.index, leaderId }, "took a snapshot");
      this.#setMatched({ index: snapshot.index, term: snapshot.term });
    }
    return installed;
  }

  #setMatched(position: LogPosition): void {
    this.#matched = position;
    this.#matchedTerm = this.#core.term;
  }
}

function createOutdated(leaderId: string): Failure {
  return createFailure(
    "notLeader",
    `entry ${leaderId} leads an older term`,
  );
}

function createContradiction(index: number): Failure {
  return createFailure(
    "internal",
    `the leader contradicts entry ${index}, which is committed here`,
    { remedy: "keep the data folders of all voters and report a defect" },
  );
}
