/** Sends the orders of a plan that moves VMs, each only while its VM is idle. */
import type { PlannedMove } from "../../decisions/index.ts";
import type { Runner } from "../../domain/index.ts";
import type { Clock, ListedVm, Logger, VmControl } from "../../ports/index.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import {
  MAX_MOVES_IN_FLIGHT,
  MAX_MOVES_PER_PLAN,
  MOVE_DOUBT_MS,
  MOVE_RATE_SHARE,
  MOVE_RATE_SPAN_MS,
} from "./timing.ts";

/** Options of {@link VmMover}. */
export interface VmMoverOptions {
  readonly log: SchedulingLog;
  readonly vms: Pick<VmControl, "maxOrdersPerSecond" | "move">;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Identifies this leader in its requests about VMs. */
  readonly holderId: string;
  readonly fencingToken: number;
  /** Returns whether a runner is sound and has no work. */
  readonly isIdle: (runner: Runner) => boolean;
  /**
   * Called when the platform has confirmed a move, before the VM's runner may
   * get work again.
   */
  readonly onMoved: (moved: ConfirmedMove) => void;
}

/** A planned move, with the VM as it was listed. */
export interface ListedMove {
  readonly move: PlannedMove;
  readonly listed: ListedVm;
}

/** A move that the platform has confirmed. */
export interface ConfirmedMove extends ListedMove {
  /** The idle runner that was on the VM, if any. */
  readonly runner: Runner | undefined;
}

/** What came of the moves that were tried. */
export interface MoveOutcome {
  readonly confirmedCount: number;
  /** Number of orders that were refused or got no answer. */
  readonly failedCount: number;
  /** Number of planned moves that were not tried. */
  readonly leftCount: number;
}

const MS_PER_SECOND = 1_000;

type MoveResult = "confirmed" | "failed" | "notIdle";

/** An order without an answer, which may still be carried out. */
interface UnansweredMove {
  readonly to: string;
  /** Monotonic time until which it may be carried out (ms). */
  readonly untilMs: number;
}

/**
 * Moves idle VMs. Their runners get no work from the plan until the answer, and
 * no order leaves before the log shows what earlier plans of the scheduler have
 * placed on them.
 */
export class VmMover {
  readonly #options: VmMoverOptions;
  /** Runners whose VM has an order that is about to be sent or under way. */
  readonly #orderedRunnerIds = new Set<string>();
  /**
   * Monotonic time until which an unanswered order may be carried out (ms), by
   * id of the runner on the VM. What becomes of later orders does not shorten
   * it, unless one is confirmed.
   */
  readonly #doubtfulUntilMs = new Map<string, number>();
  /** The newest of these orders by VM. */
  readonly #unanswered = new Map<string, UnansweredMove>();

  constructor(options: VmMoverOptions) {
    this.#options = options;
  }

  /** Returns whether a runner gets no work because its VM may move. */
  isCordoned(runnerId: string): boolean {
    const untilMs = this.#doubtfulUntilMs.get(runnerId);
    return this.#orderedRunnerIds.has(runnerId) ||
      (untilMs !== undefined && this.#options.clock.monotonicMs() < untilMs);
  }

  /**
   * Tries the first moves of a plan, and waits as long as their number takes at
   * the rate for moves. The others have to be planned anew: by then the demand
   * may be another one.
   *
   * @param moves - The plan, the most urgent moves first.
   * @param signal - Ends the wait.
   */
  async carryOut(
    moves: readonly ListedMove[],
    signal: AbortSignal,
  ): Promise<MoveOutcome> {
    const { clock, vms: { maxOrdersPerSecond } } = this.#options;
    const perMs = maxOrdersPerSecond * MOVE_RATE_SHARE / MS_PER_SECOND;
    const maxCount = Math.min(
      MAX_MOVES_PER_PLAN,
      Math.max(1, Math.floor(perMs * MOVE_RATE_SPAN_MS)),
    );
    const possible = moves.filter((planned) => this.#isPossible(planned));
    const tried = possible.slice(0, maxCount);
    const startedMs = clock.monotonicMs();
    const results = await this.#sendAll(tried);
    const count = (result: MoveResult) =>
      results.filter((known) => known === result).length;
    const confirmedCount = count("confirmed");
    const failedCount = count("failed");
    const paceMs = (confirmedCount + failedCount) / perMs;
    await clock.sleep(
      Math.max(0, startedMs + paceMs - clock.monotonicMs()),
      signal,
    );
    return {
      confirmedCount,
      failedCount,
      leftCount: possible.length - tried.length,
    };
  }

  async #sendAll(tried: readonly ListedMove[]): Promise<MoveResult[]> {
    const { log, logger } = this.#options;
    if (tried.length === 0) {
      return [];
    }
    tried.forEach(({ listed }) => this.#cordon(listed));
    // An entry that was proposed before may place work on these runners. Once a
    // later one has taken effect, it has too, or it never will.
    const proposed = await log.propose([]);
    if (proposed.isErr) {
      logger.warn(
        { failure: proposed.error, moveCount: tried.length },
        "moves no VM, as the log does not show what runs there",
      );
      tried.forEach(({ listed }) => this.#uncordon(listed));
      return [];
    }
    const queue = [...tried];
    const results: MoveResult[] = [];
    const sendNext = async () => {
      for (let next = queue.shift(); next; next = queue.shift()) {
        results.push(await this.#move(next));
      }
    };
    await Promise.all(
      Array.from({ length: MAX_MOVES_IN_FLIGHT }, () => sendNext()),
    );
    return results;
  }

  async #move(planned: ListedMove): Promise<MoveResult> {
    const { fencingToken, holderId, log, logger, onMoved, vms } = this.#options;
    const { listed, move } = planned;
    const { runnerId } = listed;
    const runner = log.state.runners.get(runnerId ?? "");
    if (!log.holdsLeaderLease || !this.#isStillIdle(listed, runner)) {
      this.#uncordon(listed);
      return "notIdle";
    }
    const source = { holderId, fencingToken };
    const moved = await vms.move(move.vm, move.to, source);
    if (moved.isOk) {
      const runCount = runner === undefined
        ? 0
        : log.state.jobs.findLoad(runner).running.size;
      logger.info({ ...move, runnerId, runCount }, "moved a VM");
      onMoved({ ...planned, runner });
      this.#doubtfulUntilMs.delete(runnerId ?? "");
      this.#unanswered.delete(move.vm);
      this.#uncordon(listed);
      return "confirmed";
    }
    const fields = { ...move, runnerId, failure: moved.error };
    logger.warn(fields, "a VM was not moved");
    if (moved.error.refusal === undefined) {
      this.#recordUnanswered(planned);
    }
    this.#uncordon(listed);
    return "failed";
  }

  // Of two orders for different pools, the first might be carried out last, when
  // the VM has work in the pool of the second.
  #isPossible({ move }: ListedMove): boolean {
    const { clock } = this.#options;
    const first = this.#unanswered.get(move.vm);
    return first === undefined || first.to === move.to ||
      first.untilMs <= clock.monotonicMs();
  }

  #recordUnanswered({ listed: { runnerId }, move }: ListedMove): void {
    const untilMs = this.#options.clock.monotonicMs() + MOVE_DOUBT_MS;
    this.#unanswered.set(move.vm, { to: move.to, untilMs });
    if (runnerId !== undefined) {
      this.#doubtfulUntilMs.set(runnerId, untilMs);
    }
  }

  // A VM that was listed with a runner which is gone may have another one by now.
  #isStillIdle({ pool, runnerId }: ListedVm, runner?: Runner): boolean {
    const { isIdle } = this.#options;
    return runner === undefined
      ? runnerId === undefined
      : runner.pool === pool && isIdle(runner);
  }

  #cordon({ runnerId }: ListedVm): void {
    if (runnerId !== undefined) {
      this.#orderedRunnerIds.add(runnerId);
    }
  }

  #uncordon({ runnerId }: ListedVm): void {
    this.#orderedRunnerIds.delete(runnerId ?? "");
  }
}
