/** Announcements of runners, as they reach the leader. */
import { Result } from "true-myth";
import {
  type Failure,
  type Runner,
  runnerSchema,
  type SchedulingOperation,
  validateWith,
} from "../../domain/index.ts";
import type { Clock, Logger, RunnerClient } from "../../ports/index.ts";
import { closePreviousIncarnation } from "./previous_incarnation.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Options of {@link RunnerRegistry}. */
export interface RunnerRegistryOptions {
  readonly log: SchedulingLog;
  readonly fleet: RunnerFleet;
  readonly client: RunnerClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly fencingToken: number;
}

/** Records new runners and changes of known ones. */
export class RunnerRegistry {
  readonly #options: RunnerRegistryOptions;
  /** Lifetimes that are over, by runner id: the newest birth seen (ms). */
  readonly #departedBornAtMs = new Map<string, number>();

  constructor(options: RunnerRegistryOptions) {
    this.#options = options;
  }

  /**
   * Takes an announcement.
   *
   * @param body - The runner, not validated yet.
   * @returns Nothing once it is durable; `invalidInput`, or why it is not.
   */
  async announce(body: unknown): Promise<Result<unknown, Failure>> {
    const checked = validateWith(runnerSchema, body, { subject: "runner" });
    if (checked.isErr) {
      return Result.err(checked.error);
    }
    const runner = checked.value;
    const { log, fleet } = this.#options;
    const known = log.state.runners.get(runner.runnerId);
    const departedMs = this.#departedBornAtMs.get(runner.runnerId) ?? -Infinity;
    const isOutdated = runner.bornAtMs <= departedMs ||
      (known !== undefined && known.bornAtMs > runner.bornAtMs);
    if (isOutdated) {
      return Result.ok({});
    }
    fleet.findStatus(runner)?.recordContact();
    if (known !== undefined && isSame(known, runner)) {
      return Result.ok({});
    }
    const ends = known !== undefined && known.bornAtMs < runner.bornAtMs
      ? await this.#closePrevious(known, runner)
      : [];
    // Without an answer to each order, the next announcement tries again.
    return ends === undefined
      ? Result.ok({})
      : await this.#record(runner, ends);
  }

  /**
   * Takes the word of a runner that it ends now.
   *
   * @param runnerId - The runner.
   */
  leave(runnerId: string): Result<unknown, Failure> {
    const { log, fleet, logger } = this.#options;
    const known = log.state.runners.get(runnerId);
    if (known !== undefined) {
      logger.info({ runnerId }, "a runner leaves");
      this.#departedBornAtMs.set(runnerId, known.bornAtMs);
      const status = fleet.findStatus(known);
      if (status !== undefined) {
        status.isLeaving = true;
      }
    }
    return Result.ok({});
  }

  async #closePrevious(
    previous: Runner,
    runner: Runner,
  ): Promise<SchedulingOperation[] | undefined> {
    const { fleet } = this.#options;
    return await closePreviousIncarnation(
      {
        ...this.#options,
        findMaxAttempts: (run) => fleet.findMaxAttempts(run),
        findStatus: (incarnation) => fleet.findStatus(incarnation),
      },
      previous,
      runner,
    );
  }

  async #record(
    runner: Runner,
    ends: readonly SchedulingOperation[],
  ): Promise<Result<unknown, Failure>> {
    const { log, logger } = this.#options;
    const { runnerId, bornAtMs, pool, zone, isDraining } = runner;
    logger.info(
      { runnerId, bornAtMs, pool, zone, isDraining },
      "a runner announced itself",
    );
    return await log.propose([...ends, { type: "runner", runner }]);
  }
}

function isSame(left: Runner, right: Runner): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
