/** The follower's side of log replication: finds the leader and pulls from it. */
import { Result } from "true-myth";
import { createFailure, type Failure, validateWith } from "../domain/index.ts";
import type { LogEntry } from "../ports/index.ts";
import {
  leaderHintSchema,
  METHODS,
  type PullRequest,
  type PullResponse,
  pullResponseSchema,
} from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import type { LogPosition } from "./replica_log.ts";
import { fetchSnapshot } from "./snapshot_transfer.ts";
import {
  DISCOVERY_TIMEOUT_MS,
  DISK_RETRY_DELAY_MS,
  LEASE_RENEWAL_THRESHOLD_MS,
  PULL_TIMEOUT_MS,
  RETRY_DELAY_MS,
} from "./timing.ts";

type EntriesResponse = Extract<PullResponse, { type: "entries" }>;

/** Pulls log entries from the leader, one request at a time. */
export class PullTask {
  readonly #core: ReplicaCore;
  #discoveryCount = 0;
  /** Term of the leader whose log is known to match up to `#matchedPosition`. */
  #matchedTerm = 0;
  #matchedPosition: LogPosition | undefined;
  #lastResponseTerm = 0;
  #lastResponseTimestampMs = 0;
  #leaderHint: string | undefined;

  constructor(core: ReplicaCore) {
    this.#core = core;
  }

  /**
   * Pulls while this replica does not lead.
   *
   * @param signal - Stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const core = this.#core;
    const { clock, logger } = core.options;
    while (!signal.aborted) {
      const leaderId = this.#choosePullTarget();
      if (core.leadership !== undefined || leaderId === undefined) {
        await core.changed.wait(signal);
        continue;
      }
      const wasFollowed = core.leaderId === leaderId;
      const pulled = await this.#pull(leaderId);
      if (pulled.isErr && !signal.aborted) {
        logger.debug({ leaderId, failure: pulled.error }, "a pull failed");
        if (wasFollowed) {
          this.#clearLostLeader(pulled.error, leaderId);
        }
        await clock.sleep(this.#handleFailure(pulled.error), signal);
      }
    }
  }

  #choosePullTarget(): string | undefined {
    const { log, leaderId, self, options } = this.#core;
    const hint = this.#leaderHint;
    this.#leaderHint = undefined;
    if (leaderId !== undefined || hint !== undefined) {
      return leaderId ?? hint;
    }
    const voterIds = log.membership.voters.map(({ entryId }) => entryId);
    const known = voterIds.length > 0 ? voterIds : options.initialVoterIds;
    const others = known.filter((entryId) => entryId !== self.entryId);
    // An entry that was disconnected for long may know none of the current voters.
    const candidates = [...others, ...this.#core.peerIds];
    this.#discoveryCount += 1;
    return candidates[this.#discoveryCount % Math.max(1, candidates.length)];
  }

  // Only a failed pull from a leader that was already followed means that this
  // leader is lost. A discovery pull that was sent to a peer before its election is
  // aborted by the peer's own announcement and says nothing about the new leader.
  #clearLostLeader(failure: Failure, leaderId: string): void {
    const { leaderId: followedId, options, term } = this.#core;
    const isLost = failure.kind === "notLeader" ||
      failure.kind === "peerUnreachable";
    if (isLost && followedId === leaderId) {
      options.logger.info({ leaderId, term, failure }, "lost the leader");
      this.#core.setLeader(undefined);
      // Only the connection may be lost. Other voters may not answer for as long
      // as a leader that needs this one can lead without it.
      this.#leaderHint = failure.kind === "peerUnreachable"
        ? leaderId
        : undefined;
    }
  }

  #handleFailure(failure: Failure): number {
    const core = this.#core;
    if (failure.kind === "readOnly") {
      core.options.logger.error({ failure }, "the disk rejected log entries");
      return DISK_RETRY_DELAY_MS;
    }
    const hint = validateWith(leaderHintSchema, failure.detail, {
      subject: "leader hint",
    });
    if (failure.kind === "notLeader" && hint.isOk) {
      const isUsable = hint.value.term >= core.term &&
        hint.value.leaderId !== core.self.entryId;
      this.#leaderHint = isUsable ? hint.value.leaderId : undefined;
    }
    return RETRY_DELAY_MS;
  }

  async #pull(leaderId: string): Promise<Result<void, Failure>> {
    const core = this.#core;
    const { network } = core.options;
    const isFollowed = core.leaderId === leaderId;
    const prev = this.#choosePreviousPosition();
    const pull = this.#createPull(prev, !isFollowed);
    const reply = await network.call(leaderId, METHODS.pull, pull, {
      timeoutMs: isFollowed ? PULL_TIMEOUT_MS : DISCOVERY_TIMEOUT_MS,
      signal: core.leaderSignal,
    });
    const response = reply.andThen((body) =>
      validateWith(pullResponseSchema, body, { subject: "pull response" })
    );
    if (response.isErr) {
      return Result.err(response.error);
    }
    if (!await core.follow(response.value.term, leaderId)) {
      return Result.err(createOutdatedTermFailure(leaderId));
    }
    return await this.#handleResponse(leaderId, prev, response.value);
  }

  #choosePreviousPosition(): LogPosition {
    const { log, term } = this.#core;
    const isValid = this.#matchedTerm === term;
    return isValid && this.#matchedPosition !== undefined
      ? this.#matchedPosition
      : log.last;
  }

  #createPull(prev: LogPosition, isDiscovery: boolean): PullRequest {
    const { term, self, options, commitIndex, state, freshness } = this.#core;
    const requestedAtMs = options.clock.monotonicMs();
    return {
      term,
      storeId: self.storeId,
      hasDisk: options.hasDisk,
      wantsVote: options.wantsVote,
      prevIndex: prev.index,
      prevTerm: prev.term,
      commitIndex,
      revision: state.revision,
      askMs: requestedAtMs,
      echoMs: this.#lastResponseTimestampMs,
      echoTerm: this.#lastResponseTerm,
      isHurried: isDiscovery ||
        freshness.untilMs - requestedAtMs < LEASE_RENEWAL_THRESHOLD_MS,
    };
  }

  async #handleResponse(
    leaderId: string,
    prev: LogPosition,
    response: PullResponse,
  ): Promise<Result<void, Failure>> {
    const core = this.#core;
    this.#lastResponseTerm = response.term;
    this.#lastResponseTimestampMs = response.stampMs;
    if (response.confirmedAskMs !== undefined) {
      core.freshness.addConfirmation(
        response.confirmedAskMs,
        response.commitIndex,
      );
    }
    switch (response.type) {
      case "entries":
        return await this.#handleEntries(prev, response);
      case "diverged": {
        const { lastIndex, lastTerm } = response;
        this.#setMatched(core.log.findLastUpTo(lastIndex, lastTerm));
        return Result.ok(undefined);
      }
      case "snapshot":
        return await this.#fetchSnapshot(leaderId, response);
    }
  }

  async #handleEntries(
    prev: LogPosition,
    response: EntriesResponse,
  ): Promise<Result<void, Failure>> {
    const core = this.#core;
    const appended = await core.mutex.run(async () => {
      if (core.term !== response.term || core.leadership !== undefined) {
        return Result.err<void, Failure>(core.createNotLeaderFailure());
      }
      return await this.#appendNew(response.entries);
    });
    if (appended.isErr) {
      return appended;
    }
    const last = response.entries.at(-1) ?? prev;
    this.#setMatched({ index: last.index, term: last.term });
    core.advanceCommit(Math.min(response.commitIndex, last.index));
    return appended;
  }

  // Log entries that are already stored stay: rewriting them could lose them.
  async #appendNew(
    entries: readonly LogEntry[],
  ): Promise<Result<void, Failure>> {
    const { log, commitIndex } = this.#core;
    const added = entries.filter(({ index, term }) =>
      index > log.baseIndex && log.findTerm(index) !== term
    );
    const first = added[0];
    if (first !== undefined && first.index <= commitIndex) {
      return Result.err(createCommittedConflictFailure(first.index));
    }
    return await log.append(added);
  }

  async #fetchSnapshot(
    leaderId: string,
    response: Extract<PullResponse, { type: "snapshot" }>,
  ): Promise<Result<void, Failure>> {
    const core = this.#core;
    const { network, logger } = core.options;
    const fetched = await fetchSnapshot(network, leaderId, response);
    if (fetched.isErr) {
      return Result.err(fetched.error);
    }
    const snapshot = fetched.value;
    const installed = await core.mutex.run(async () =>
      core.term === response.term && core.leadership === undefined
        ? await core.installSnapshot(snapshot)
        : Result.err<void, Failure>(core.createNotLeaderFailure())
    );
    if (installed.isOk) {
      logger.info(
        { index: snapshot.index, leaderId },
        "installed a snapshot from the leader",
      );
      this.#setMatched({ index: snapshot.index, term: snapshot.term });
    }
    return installed;
  }

  #setMatched(position: LogPosition): void {
    this.#matchedPosition = position;
    this.#matchedTerm = this.#core.term;
  }
}

function createOutdatedTermFailure(leaderId: string): Failure {
  return createFailure(
    "notLeader",
    `entry ${leaderId} leads an older term`,
  );
}

function createCommittedConflictFailure(index: number): Failure {
  return createFailure(
    "internal",
    `the leader's log conflicts with log entry ${index}, which is committed here`,
    { remedy: "keep the data folders of all voters and report a bug" },
  );
}
