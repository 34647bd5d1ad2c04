/** The leader's side of a pull: one call is one follower that waits. */
import { Result } from "true-myth";
import { createFailure, type Failure, validateWith } from "../domain/index.ts";
import { waitFor } from "../tasks/index.ts";
import type { FollowerProgress } from "./follower_progress.ts";
import type { Leadership } from "./leadership.ts";
import {
  partRequestSchema,
  type Pull,
  type PullAnswer,
  pullSchema,
} from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import {
  countParts,
  createPart,
  type SnapshotPart,
} from "./snapshot_transfer.ts";
import { POLL_WAIT_MS } from "./timing.ts";

/** Answers pulls and hands out snapshots while this replica leads. */
export class PullHandler {
  readonly #core: ReplicaCore;

  constructor(core: ReplicaCore) {
    this.#core = core;
  }

  /**
   * Answers a pull as soon as there is something to tell.
   *
   * @param peerId - The follower.
   * @param body - Its message, not validated yet.
   * @returns Entries, where the logs part, or a snapshot; `notLeader` otherwise.
   */
  async pull(
    peerId: string,
    body: unknown,
  ): Promise<Result<PullAnswer, Failure>> {
    const core = this.#core;
    const checked = validateWith(pullSchema, body, { subject: "pull" });
    if (checked.isErr) {
      return Result.err(checked.error);
    }
    const pull = checked.value;
    if (pull.term > core.term) {
      await core.mutex.run(() => core.raiseTerm(pull.term));
    }
    const { leadership } = core;
    if (leadership === undefined) {
      return Result.err(core.createNotLeader());
    }
    const follower = leadership.recordPull(peerId, pull);
    if (this.#agreesWith(pull)) {
      if (pull.term === leadership.term) {
        leadership.recordMatch(follower, pull.prevIndex);
      }
      await this.#waitForNews(leadership, follower, pull);
    }
    return core.leadership === leadership
      ? Result.ok(this.#createAnswer(leadership, follower, pull))
      : Result.err(core.createNotLeader());
  }

  /**
   * Hands out one part of the newest snapshot.
   *
   * @param body - Index of the snapshot and number of the part.
   * @returns The part, or `notFound` when there is a newer snapshot.
   */
  createPart(body: unknown): Result<SnapshotPart, Failure> {
    const { snapshot } = this.#core.log;
    const request = validateWith(partRequestSchema, body, { subject: "part" });
    return request.andThen(({ index, part }) =>
      snapshot?.index === index
        ? Result.ok(createPart(snapshot, part))
        : Result.err(
          createFailure("notFound", `snapshot ${index} is no longer kept`, {
            remedy: "pull again",
          }),
        )
    );
  }

  #agreesWith({ prevIndex, prevTerm }: Pull): boolean {
    return this.#core.log.findTerm(prevIndex) === prevTerm;
  }

  async #waitForNews(
    leadership: Leadership,
    follower: FollowerProgress,
    pull: Pull,
  ): Promise<void> {
    const core = this.#core;
    if (pull.isHurried) {
      leadership.startRound();
    }
    const { round } = leadership;
    const { clock, commitNewsDelayMs = 0 } = core.options;
    const newsFromMs = clock.monotonicMs() + commitNewsDelayMs;
    const isConfirmed = () =>
      (leadership.findConfirmedAsk(follower) ?? -Infinity) >= pull.askMs;
    const isMet = () =>
      core.leadership !== leadership ||
      core.log.last.index > pull.prevIndex ||
      (core.commitIndex > pull.commitIndex &&
        clock.monotonicMs() >= newsFromMs) ||
      (leadership.round > round && leadership.isVoter(follower)) ||
      (pull.isHurried && isConfirmed());
    await waitFor({
      clock,
      notifier: core.changed,
      timeoutMs: POLL_WAIT_MS,
      signal: core.stopSignal,
      isMet,
    });
  }

  #createAnswer(
    leadership: Leadership,
    follower: FollowerProgress,
    pull: Pull,
  ): PullAnswer {
    const { log, commitIndex, options } = this.#core;
    const confirmedAskMs = leadership.findConfirmedAsk(follower);
    const base = {
      term: leadership.term,
      stampMs: options.clock.monotonicMs(),
      commitIndex,
      ...(confirmedAskMs === undefined ? {} : { confirmedAskMs }),
    };
    if (this.#agreesWith(pull)) {
      const entries = log.selectBatch(pull.prevIndex + 1);
      return { type: "entries", ...base, entries };
    }
    const last = log.findLastUpTo(pull.prevIndex, pull.prevTerm);
    const isBehind = pull.prevIndex < log.baseIndex ||
      last.term > pull.prevTerm;
    if (isBehind && log.snapshot !== undefined) {
      const { index } = log.snapshot;
      const partCount = countParts(log.snapshot);
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
