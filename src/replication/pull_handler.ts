/** The leader's side of log replication: each pull is a long poll of a follower. */
import { Result } from "true-myth";
import { createFailure, type Failure, validateWith } from "../domain/index.ts";
import { shareValue } from "../ports/index.ts";
import { waitFor } from "../tasks/index.ts";
import type { FollowerProgress } from "./follower_progress.ts";
import type { Leadership } from "./leadership.ts";
import {
  type PullRequest,
  pullRequestSchema,
  type PullResponse,
  snapshotPartRequestSchema,
} from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import {
  countSnapshotParts,
  createSnapshotPart,
  type SnapshotPart,
} from "./snapshot_transfer.ts";
import { MAX_PULL_WAIT_MS } from "./timing.ts";

/** Responds to pulls and serves snapshots while this replica leads. */
export class PullHandler {
  readonly #core: ReplicaCore;

  constructor(core: ReplicaCore) {
    this.#core = core;
  }

  /**
   * Responds to a pull as soon as there is something to report, at the latest
   * after {@link MAX_PULL_WAIT_MS}.
   *
   * @param peerId - The follower.
   * @param body - Its message, not validated yet.
   * @returns Log entries, the position at which the logs diverge, or the offer of
   * a snapshot; `notLeader` unless this replica leads.
   */
  async handlePull(
    peerId: string,
    body: unknown,
  ): Promise<Result<PullResponse, Failure>> {
    const core = this.#core;
    const validated = validateWith(pullRequestSchema, body, {
      subject: "pull",
    });
    if (validated.isErr) {
      return Result.err(validated.error);
    }
    const pull = validated.value;
    if (pull.term > core.term) {
      await core.mutex.run(() => core.raiseTerm(pull.term));
    }
    const { leadership } = core;
    if (leadership === undefined) {
      return Result.err(core.createNotLeaderFailure());
    }
    const follower = leadership.recordPull(peerId, pull);
    if (this.#matchesLog(pull)) {
      if (pull.term === leadership.term) {
        leadership.recordMatch(follower, pull.prevIndex);
      }
      await this.#waitForUpdate(leadership, follower, pull);
    }
    return core.leadership === leadership
      ? Result.ok(this.#createResponse(leadership, follower, pull))
      : Result.err(core.createNotLeaderFailure());
  }

  /**
   * Returns one part of the newest snapshot.
   *
   * @param body - Index of the snapshot and number of the part, not validated yet.
   * @returns The part, or `notFound` if a newer snapshot has replaced this one.
   */
  readSnapshotPart(body: unknown): Result<SnapshotPart, Failure> {
    const { snapshot } = this.#core.log;
    const request = validateWith(snapshotPartRequestSchema, body, {
      subject: "request for a snapshot part",
    });
    return request.andThen(({ index, part }) =>
      snapshot?.index === index
        ? Result.ok(createSnapshotPart(snapshot, part))
        : Result.err(
          createFailure(
            "notFound",
            `the snapshot at index ${index} is no longer available`,
            {
              remedy: "send a new pull, which offers the newest snapshot",
            },
          ),
        )
    );
  }

  #matchesLog({ prevIndex, prevTerm }: PullRequest): boolean {
    return this.#core.log.findTerm(prevIndex) === prevTerm;
  }

  async #waitForUpdate(
    leadership: Leadership,
    follower: FollowerProgress,
    pull: PullRequest,
  ): Promise<void> {
    const core = this.#core;
    if (pull.isHurried) {
      leadership.startConfirmationRound();
    }
    const { confirmationRound: initialRound } = leadership;
    const { clock, commitNotificationDelayMs = 0 } = core.options;
    const commitReportableAtMs = clock.monotonicMs() +
      commitNotificationDelayMs;
    const isConfirmed = () =>
      (leadership.findConfirmedRequestMs(follower) ?? -Infinity) >= pull.askMs;
    const isMet = () =>
      core.leadership !== leadership ||
      core.log.last.index > pull.prevIndex ||
      (core.commitIndex > pull.commitIndex &&
        clock.monotonicMs() >= commitReportableAtMs) ||
      (leadership.confirmationRound > initialRound &&
        leadership.isVoter(follower)) ||
      (pull.isHurried && isConfirmed());
    leadership.hurriedPullCount += Number(pull.isHurried);
    await waitFor({
      clock,
      notifier: core.changed,
      timeoutMs: MAX_PULL_WAIT_MS,
      signal: core.stopSignal,
      isMet,
    });
    leadership.hurriedPullCount -= Number(pull.isHurried);
  }

  #createResponse(
    leadership: Leadership,
    follower: FollowerProgress,
    pull: PullRequest,
  ): PullResponse {
    const { log, commitIndex, options } = this.#core;
    const confirmedAskMs = leadership.findConfirmedRequestMs(follower);
    const base = {
      term: leadership.term,
      stampMs: options.clock.monotonicMs(),
      commitIndex,
      ...(confirmedAskMs === undefined ? {} : { confirmedAskMs }),
    };
    if (this.#matchesLog(pull)) {
      const entries = log.selectBatch(pull.prevIndex + 1);
      entries.forEach(shareValue);
      return { type: "entries", ...base, entries };
    }
    const last = log.findLastUpTo(pull.prevIndex, pull.prevTerm);
    const isBehind = pull.prevIndex < log.baseIndex ||
      last.term > pull.prevTerm;
    if (isBehind && log.snapshot !== undefined) {
      const { index } = log.snapshot;
      const partCount = countSnapshotParts(log.snapshot);
      return { type: "snapshot", ...base, index, partCount };
    }
    return {
      type: "diverged",
      ...base,
      lastIndex: last.index,
      lastTerm: last.term,
    };
  }
}
