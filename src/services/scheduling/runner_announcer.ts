/** A controller's service for the announcements of runners. */
import { Result } from "true-myth";
import {
  type Failure,
  hashText,
  isSameRunner,
  type Runner,
  type RunnerIncarnation,
} from "../../domain/index.ts";
import type { Agreement, Clock, Logger } from "../../ports/index.ts";
import { BatchSender } from "../../tasks/index.ts";
import type { SchedulingClient } from "./controller_leader_client.ts";
import { MAX_DIRECT_RUNNER_COUNT } from "./relay/index.ts";
import { SCHEDULING_METHODS } from "./scheduling_handlers.ts";
import {
  CONTACT_CALL_MS,
  CONTACT_GATHER_MS,
  MAX_CONTACT_COUNT,
} from "./timing.ts";

/** Options of {@link RunnerAnnouncer}. */
export interface RunnerAnnouncerOptions {
  readonly agreement: Agreement;
  /** Calls the leader, which may be this controller. */
  readonly leader: SchedulingClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Number of runners up to which all announcements go to the leader;
   * {@link MAX_DIRECT_RUNNER_COUNT} by default.
   */
  readonly maxDirectRunnerCount?: number;
}

/**
 * Passes announcements on to the leader. Where there are many runners, it takes
 * those that change nothing itself, and reports them to the leader together.
 */
export class RunnerAnnouncer {
  readonly #options: RunnerAnnouncerOptions;
  readonly #contacts: BatchSender<RunnerIncarnation>;

  constructor(options: RunnerAnnouncerOptions) {
    this.#options = options;
    this.#contacts = new BatchSender<RunnerIncarnation>({
      clock: options.clock,
      gatherMs: CONTACT_GATHER_MS,
      maxCount: MAX_CONTACT_COUNT,
      send: (runners) => this.#report(runners),
    });
  }

  /**
   * Reports the announcements that it took until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  run(signal: AbortSignal): Promise<void> {
    return this.#contacts.run(signal);
  }

  /**
   * Handles the announcement of a runner.
   *
   * @param runner - The runner.
   * @param timeoutMs - Time for the leader's answer (ms).
   * @returns Nothing once it is recorded, or the leader's failure.
   */
  async announce(
    runner: Runner,
    timeoutMs: number,
  ): Promise<Result<unknown, Failure>> {
    const { agreement, leader } = this.#options;
    if (this.#isFresh && agreement.state.scheduling.hasEnded(runner)) {
      return Result.ok({});
    }
    if (this.#mayTake(runner)) {
      const { runnerId, bornAtMs } = runner;
      this.#contacts.push({ runnerId, bornAtMs });
      return Result.ok({});
    }
    return await leader.call(SCHEDULING_METHODS.announce, runner, timeoutMs);
  }

  /**
   * Chooses the controller for the next announcements of a runner.
   *
   * @param runnerId - The runner.
   * @returns Id of the controller; undefined while no leader is known.
   */
  chooseController(runnerId: string): string | undefined {
    const { agreement } = this.#options;
    const { leaderId } = agreement.status();
    if (leaderId === undefined || !this.#hasManyRunners) {
      return leaderId;
    }
    const others = agreement.state.membership.voters.map(({ entryId }) =>
      entryId
    ).filter((entryId) => entryId !== leaderId);
    return others[hashText(runnerId) % others.length] ?? leaderId;
  }

  get #hasManyRunners(): boolean {
    const { agreement, maxDirectRunnerCount = MAX_DIRECT_RUNNER_COUNT } =
      this.#options;
    return agreement.state.scheduling.runners.size > maxDirectRunnerCount;
  }

  get #isFresh(): boolean {
    const { agreement, clock } = this.#options;
    return clock.monotonicMs() < agreement.status().freshUntilMs;
  }

  #mayTake(runner: Runner): boolean {
    const { agreement } = this.#options;
    const { entryId, leaderId } = agreement.status();
    const known = agreement.state.scheduling.runners.get(runner.runnerId);
    return this.#hasManyRunners && this.#isFresh && leaderId !== entryId &&
      known !== undefined && isSameRunner(known, runner);
  }

  // A controller that no longer reaches the leader is not fresh for long. The
  // runners then announce themselves elsewhere.
  async #report(runners: readonly RunnerIncarnation[]): Promise<boolean> {
    const { leader, logger } = this.#options;
    const reported = await leader.call(
      SCHEDULING_METHODS.contacts,
      { runners },
      CONTACT_CALL_MS,
    );
    if (reported.isErr) {
      logger.warn(
        { runnerCount: runners.length, failure: reported.error },
        "failed to report announcements to the leader",
      );
    }
    return reported.isOk;
  }
}
