/** Compares the demand of each pool with its capacity. */
import {
  computeWantedMillicores,
  countApartVms,
  type DemandForecast,
  listReadySteps,
  listRestedPools,
  NoTurnOutlook,
  type PoolLoad,
  sumWaitingDemand,
  type TurnOutlook,
} from "../../decisions/index.ts";
import type { Runner, RunnerIncarnation } from "../../domain/index.ts";
import type { Clock, PoolNeed, PoolShare } from "../../ports/index.ts";
import { listArrivals, sumRecent } from "./arrivals.ts";
import type { PoolAccount, PoolAccounts } from "./pool_accounts.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { FORECAST_AHEAD_MS } from "./timing.ts";

/** Options of {@link PoolLoads}. */
export interface PoolLoadsOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly forecast: DemandForecast;
  /** Expects the turns of pools; none by default. */
  readonly outlook?: TurnOutlook;
  readonly accounts: Pick<PoolAccounts, "findHostCapacity" | "sum">;
  /** Returns whether a runner's VM is going to be maintained in an open wave. */
  readonly awaitsMaintenance: (runner: Runner) => boolean;
  /** Returns whether a runner's VM is being drained for maintenance. */
  readonly isInMaintenance: (runner: RunnerIncarnation) => boolean;
}

/**
 * Shares of a pool that serve its work now or within the duration of a move. A
 * new leader has not heard a runner before its first poll, and an answer that is
 * overdue may be late because the leader is.
 */
const SERVING_SHARES: readonly PoolShare[] = [
  "used",
  "free",
  "overdue",
  "unheard",
  "arriving",
  "standby",
];

/** Computes what the pools need and have, for moves and for maintenance. */
export class PoolLoads {
  readonly #options: PoolLoadsOptions;

  constructor(options: PoolLoadsOptions) {
    this.#options = options;
  }

  /** Lists the load of all pools. */
  list(): PoolLoad[] {
    const { accounts, awaitsMaintenance, clock, forecast, isInMaintenance } =
      this.#options;
    const { outlook = new NoTurnOutlook() } = this.#options;
    const { state } = this.#options.log;
    const nowMs = clock.nowMs();
    const running = new Map<string, number>();
    const awaiting = new Map<string, number>();
    let largestMillicores = 0;
    for (const runner of state.runners.values()) {
      const { capacity: { cpuMillicores }, pool } = runner;
      const { used } = state.jobs.findLoad(runner);
      largestMillicores = Math.max(largestMillicores, cpuMillicores);
      running.set(pool, (running.get(pool) ?? 0) + used.cpuMillicores);
      if (awaitsMaintenance(runner)) {
        awaiting.set(pool, (awaiting.get(pool) ?? 0) + 1);
      }
    }
    const hosts = accounts.findHostCapacity();
    const ready = listReadySteps(state.jobs, state.catalog, nowMs)
      .filter(({ step }) => hosts?.canRun(step) ?? true);
    const waiting = sumWaitingDemand(ready, largestMillicores, nowMs);
    const arrivals = listArrivals(state);
    const recent = sumRecent(arrivals, nowMs);
    const expected = forecast.predict(
      arrivals,
      nowMs + FORECAST_AHEAD_MS,
      nowMs,
    );
    const apart = countApartVms({
      jobs: state.jobs.open,
      catalog: state.catalog,
      awaitingByPool: awaiting,
      isCordoned: isInMaintenance,
      canRun: (step) => hosts?.canRun(step) ?? true,
    });
    const byPool = accounts.sum();
    const serving = state.catalog.pools.filter(({ isStandby }) => !isStandby)
      .map(({ name }) => name);
    const rested = listRestedPools(arrivals, serving, nowMs);
    const turns = outlook.expect(arrivals, serving, nowMs);
    return state.catalog.pools.map(({ name, isStandby }) => ({
      pool: name,
      isStandby,
      hasRested: rested.has(name),
      runningMillicores: running.get(name) ?? 0,
      waitingMillicores: waiting.get(name) ?? 0,
      arrivingMillicores: recent.get(name) ?? 0,
      forecastMillicores: expected.get(name) ?? 0,
      apartMillicores: (apart.get(name) ?? 0) * largestMillicores,
      capacityMillicores: sumServing(byPool.get(name)),
      turns: turns.filter(({ pool }) => pool === name).map((turn) => ({
        startsInMs: turn.startMs - nowMs,
        endsInMs: turn.endMs - nowMs,
        millicores: turn.millicores,
        isFirst: turn.isFirst,
      })),
    }));
  }

  /** Returns what the pools need that are not standby pools. */
  listNeeds(): Map<string, PoolNeed> {
    return new Map(
      this.list().filter(({ isStandby }) => !isStandby).map((load) => [
        load.pool,
        {
          wantedMillicores: computeWantedMillicores(load),
          nextTurnMs: load.turns?.map(({ startsInMs }) => startsInMs)
            .filter((startsInMs) => startsInMs >= 0)
            .toSorted((left, right) => left - right)[0],
        },
      ]),
    );
  }
}

function sumServing(account: PoolAccount = new Map()): number {
  return SERVING_SHARES.reduce(
    (sum, share) => sum + (account.get(share) ?? 0),
    0,
  );
}
