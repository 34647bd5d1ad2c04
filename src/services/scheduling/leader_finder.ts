/** Finds the controller that leads, for all calls of a process. */
import { Result } from "true-myth";
import { type Failure, validateWith } from "../../domain/index.ts";
import type { Clock, Logger, PeerNetwork } from "../../ports/index.ts";
import { CallQueue } from "./call_queue.ts";
import {
  createOutdatedAnswer,
  type LeaderAnswer,
  leaderAnswerSchema,
  readLeaderAnswer,
} from "./leader_answer.ts";
import { type LeaderHint, ProbeTargets } from "./probe_targets.ts";
import { SCHEDULING_METHODS } from "./scheduling_handlers.ts";
import {
  LEADER_CALL_MS,
  LEADER_RETRY_MS,
  LEADER_SEARCH_MS,
  LOST_LEADER_WAIT_MS,
} from "./timing.ts";

/** Options of {@link LeaderFinder}. */
export interface LeaderFinderOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Ids of the controllers that the settings name. */
  readonly controllerIds: readonly string[];
  /**
   * Ends the calls that are under way at controllers other than the leader.
   *
   * @param leaderId - The leader.
   * @returns Number of those calls, once all of them wait for the leader.
   */
  readonly supersede: (leaderId: string) => Promise<number>;
}

/** A message to one controller. */
export interface LeaderMessage {
  readonly method: string;
  readonly body: unknown;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/**
 * Knows the leader, and searches for the next one while calls wait for it: one
 * search serves them all, and releases them in the order of their arrival.
 */
export class LeaderFinder {
  readonly #options: LeaderFinderOptions;
  readonly #queue: CallQueue;
  readonly #targets: ProbeTargets;
  /** Controllers named as the leader that have not answered a ping yet. */
  readonly #askedIds = new Set<string>();
  #leaderTerm = 0;
  #answeredAtMs = -Infinity;
  #isSearching = false;
  /** Steady time from which the next controller may be asked (ms). */
  #nextProbeAtMs = -Infinity;
  /** Steady time at which the leader was lost; undefined while it answers. */
  #lostAtMs: number | undefined;

  constructor(options: LeaderFinderOptions) {
    this.#options = options;
    this.#queue = new CallQueue(options);
    this.#targets = new ProbeTargets(options.controllerIds);
  }

  /** The controller that last answered as the leader. */
  get leaderId(): string | undefined {
    return this.#queue.leaderId;
  }

  /** Newest term whose leader has answered; 0 before the first answer. */
  get leaderTerm(): number {
    return this.#leaderTerm;
  }

  /** Time without any answer after which the leader counts as silent (ms). */
  get maxSilenceMs(): number {
    return this.#lostAtMs === undefined ? LEADER_CALL_MS : LEADER_SEARCH_MS;
  }

  /** Steady time of the newest answer of the newest leader (ms). */
  get answeredAtMs(): number {
    return this.#answeredAtMs;
  }

  /** Sets the present controllers, in addition to those of the settings. */
  updateControllers(controllerIds: readonly string[]): void {
    this.#targets.updateControllers(controllerIds);
  }

  /** Sets the controllers that the settings name. */
  replaceSeeds(seedIds: readonly string[]): void {
    this.#targets.replaceSeeds(seedIds);
  }

  /** Sets the leader to try first; keeps the known one when undefined. */
  suggestLeader(leaderId: string | undefined): void {
    if (leaderId !== undefined) {
      this.#queue.release(leaderId);
    }
  }

  /**
   * Takes up a call that has arrived.
   *
   * @returns The position of the call among all calls of the process.
   */
  arrive(): number {
    return this.#queue.arrive();
  }

  /** Makes a call fail, if it waits for the leader. */
  giveUp(position: number): void {
    this.#queue.fail(position);
  }

  /**
   * Waits until a leader is known.
   *
   * @param position - Position of the call that waits.
   * @param deadlineMs - Steady time at which the call fails (ms).
   * @returns The leader; undefined when the call must fail.
   */
  async waitForLeader(
    position: number,
    deadlineMs: number,
  ): Promise<string | undefined> {
    while (this.leaderId === undefined) {
      if (this.#options.clock.steadyMs() >= deadlineMs) {
        return undefined;
      }
      const waited = this.#queue.wait(position);
      void this.#search();
      if (!await waited) {
        return undefined;
      }
    }
    return this.leaderId;
  }

  /**
   * Sends a message to one controller, and follows it if it answers as the
   * leader.
   *
   * @param target - The controller.
   * @param message - The message, with its timeout (ms) and signal.
   * @returns The answer of the controller as the leader, or a failure: its own,
   * or `peerUnreachable` also when a leader of a newer term has answered before.
   */
  async ask(
    target: string,
    { method, body, timeoutMs, signal }: LeaderMessage,
  ): Promise<Result<unknown, Failure>> {
    const { network } = this.#options;
    const options = { timeoutMs, signal };
    const replied = await network.call(target, method, body, options);
    return replied
      .andThen((value) =>
        validateWith(leaderAnswerSchema, value, {
          subject: `answer of ${target} to ${method}`,
          kind: "internal",
        })
      )
      .andThen((answer) => this.#takeAnswer(target, method, answer));
  }

  /**
   * Records that a call has failed.
   *
   * @param target - The controller that was called.
   * @param failure - The failure.
   * @returns Whether the call may be sent again.
   */
  recordFailure(target: string, failure: Failure): boolean {
    if (!maySendAgain(failure)) {
      return false;
    }
    // Another call may have found the next leader meanwhile.
    if (this.leaderId === undefined || this.leaderId === target) {
      this.#lostAtMs ??= this.#options.clock.steadyMs();
      this.#targets.noteHint(target, failure);
      if (failure.kind !== "noQuorum") {
        this.#queue.hold();
      }
    }
    return true;
  }

  /** Asks one controller after the other, until one leads or no call waits. */
  async #search(): Promise<void> {
    if (this.#isSearching) {
      return;
    }
    const { clock } = this.#options;
    this.#isSearching = true;
    while (this.leaderId === undefined && this.#queue.size > 0) {
      const pauseMs = this.#nextProbeAtMs - clock.steadyMs();
      if (pauseMs > 0) {
        await clock.sleep(pauseMs);
        continue;
      }
      this.#nextProbeAtMs = clock.steadyMs() + LEADER_RETRY_MS;
      void this.#probe(this.#targets.choose(this.#askedIds));
    }
    this.#isSearching = false;
  }

  async #probe(target: string | undefined): Promise<void> {
    if (target === undefined) {
      return;
    }
    const arrivedCount = this.#queue.arrivedCount;
    const isNamed = this.#targets.isNamed(target);
    if (isNamed) {
      this.#askedIds.add(target);
    }
    const asked = await this.ask(target, {
      method: SCHEDULING_METHODS.ping,
      body: {},
      // One that was named may lead and have much to do.
      timeoutMs: isNamed ? LEADER_CALL_MS : LEADER_SEARCH_MS,
    });
    this.#askedIds.delete(target);
    if (asked.isOk || this.leaderId !== undefined) {
      return;
    }
    this.#lostAtMs ??= this.#options.clock.steadyMs();
    const hint = this.#targets.noteHint(target, asked.error);
    if (hint !== undefined && hint.term >= this.#leaderTerm) {
      this.#takeHint(hint);
      return;
    }
    // Callers retry sooner when they are refused at once than when they wait for
    // an election that may not take place.
    if (this.#isLeaderLost) {
      this.#queue.failBefore(arrivedCount);
    }
  }

  // A new leader has most to do while calls wait for it, so that it may answer
  // later than a search waits. That it was elected is enough to send them. Calls
  // go on waiting for one that was lost while others still follow it.
  #takeHint({ leaderId, term }: LeaderHint): void {
    if (term > this.#leaderTerm) {
      this.#leaderTerm = term;
      void this.#follow(leaderId, term);
    }
  }

  // Each answer of the leader shows who leads, whatever message it answers.
  #takeAnswer(
    target: string,
    method: string,
    answer: LeaderAnswer,
  ): Result<unknown, Failure> {
    const { term } = answer;
    const leaderTerm = this.#leaderTerm;
    if (term < leaderTerm) {
      this.#options.logger.warn(
        { controllerId: target, method, term, leaderTerm },
        "ignored the answer of an earlier leader",
      );
      return Result.err(createOutdatedAnswer(target, term, leaderTerm));
    }
    this.#leaderTerm = term;
    this.#answeredAtMs = this.#options.clock.steadyMs();
    const answered = readLeaderAnswer(answer);
    if (answered.isOk || !maySendAgain(answered.error)) {
      this.#queue.noteAnswer();
      void this.#follow(target, term);
    }
    return answered;
  }

  // Calls that are under way elsewhere wait with the others before any is sent.
  async #follow(leaderId: string, term: number): Promise<void> {
    const { clock, logger, supersede } = this.#options;
    if (this.leaderId !== leaderId) {
      this.#queue.hold();
    }
    const supersededCount = await supersede(leaderId);
    // A newer leader has answered meanwhile.
    if (term < this.#leaderTerm) {
      return;
    }
    if (this.leaderId === undefined && this.#lostAtMs !== undefined) {
      logger.info(
        {
          leaderId,
          term,
          lostMs: Math.round(clock.steadyMs() - this.#lostAtMs),
          waitingCount: this.#queue.size,
          supersededCount,
        },
        "found the leader",
      );
    }
    this.#lostAtMs = undefined;
    this.#queue.release(leaderId);
  }

  get #isLeaderLost(): boolean {
    const { clock } = this.#options;
    return this.#lostAtMs !== undefined &&
      clock.steadyMs() - this.#lostAtMs > LOST_LEADER_WAIT_MS;
  }
}

function maySendAgain({ kind }: Failure): boolean {
  return kind === "notLeader" || kind === "peerUnreachable" ||
    kind === "noQuorum";
}
