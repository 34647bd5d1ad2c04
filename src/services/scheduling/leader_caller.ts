/** Calls to whoever leads, from entries and from other controllers. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  createFailure,
  type Failure,
  validateWith,
} from "../../domain/index.ts";
import type { Clock, PeerNetwork } from "../../ports/index.ts";
import { LEADER_CALL_MS, LEADER_RETRY_MS } from "./timing.ts";

const hintSchema = v.object({ leaderId: v.optional(v.string()) });

/** Options of {@link LeaderCaller}. */
export interface LeaderCallerOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** Controllers that are known from the settings. */
  readonly controllerIds: readonly string[];
}

/** Finds the leader and calls it; every call it carries may be repeated. */
export class LeaderCaller {
  readonly #options: LeaderCallerOptions;
  #controllerIds: readonly string[];
  #leaderId: string | undefined;
  #attemptCount = 0;

  constructor(options: LeaderCallerOptions) {
    this.#options = options;
    this.#controllerIds = options.controllerIds;
  }

  /** The controller that answered as the leader last. */
  get leaderId(): string | undefined {
    return this.#leaderId;
  }

  /** Takes which controllers there are now, beside those of the settings. */
  learnControllers(controllerIds: readonly string[]): void {
    const known = new Set([...this.#options.controllerIds, ...controllerIds]);
    this.#controllerIds = [...known];
  }

  /** Takes who is said to lead. */
  suggestLeader(leaderId: string | undefined): void {
    this.#leaderId = leaderId ?? this.#leaderId;
  }

  /**
   * Calls the leader until it answers or the time is over.
   *
   * @param method - Name of the message.
   * @param body - Body of the message.
   * @param timeoutMs - Time for all attempts (ms).
   * @returns The leader's answer; `notLeader` when no call can have been
   * handled, `noQuorum` when one may have been.
   */
  async call(
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Failure>> {
    const { clock, network } = this.#options;
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    let isInDoubt = false;
    for (;;) {
      const leftMs = deadlineMs - clock.monotonicMs();
      if (leftMs <= 0) {
        return Result.err(createNoLeader(isInDoubt));
      }
      const target = this.#chooseTarget();
      if (target !== undefined) {
        const answered = await network.call(target, method, body, {
          timeoutMs: Math.min(leftMs, LEADER_CALL_MS),
        });
        const isOver = answered.isOk || !this.#mayRetry(target, answered.error);
        if (isOver) {
          this.#leaderId = answered.isOk ? target : this.#leaderId;
          return answered;
        }
        isInDoubt ||= answered.error.kind !== "notLeader";
      }
      await clock.sleep(LEADER_RETRY_MS);
    }
  }

  #chooseTarget(): string | undefined {
    if (this.#leaderId !== undefined) {
      return this.#leaderId;
    }
    this.#attemptCount += 1;
    return this.#controllerIds[this.#attemptCount % this.#controllerIds.length];
  }

  #mayRetry(target: string, failure: Failure): boolean {
    if (failure.kind === "notLeader") {
      const hint = validateWith(hintSchema, failure.detail, {
        subject: "hint",
      });
      const leaderId = hint.isOk ? hint.value.leaderId : undefined;
      this.#leaderId = leaderId === target ? undefined : leaderId;
      return true;
    }
    if (failure.kind === "peerUnreachable") {
      this.#leaderId = undefined;
      return true;
    }
    return failure.kind === "noQuorum";
  }
}

function createNoLeader(isInDoubt: boolean): Failure {
  return isInDoubt
    ? createFailure("noQuorum", "the leader did not answer in time", {
      remedy: "send the same again",
      retryAfterMs: 1_000,
    })
    : createFailure("notLeader", "no leader was reached in time", {
      remedy: "send it again",
      retryAfterMs: 1_000,
    });
}
