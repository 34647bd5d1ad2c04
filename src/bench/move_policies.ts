/** Compares the move policy in use with the reactive baseline by simulation. */
import { SeededRandom } from "../adapters/random/index.ts";
import {
  HysteresisMovePolicy,
  type MovePolicy,
  ReactiveMovePolicy,
} from "../decisions/index.ts";
import {
  type DeploymentSize,
  listPoolNames,
  type MoveFigures,
  runMovePolicy,
} from "./capacity_model.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import { generateDemand } from "./move_demand.ts";

const STEP_MS = 10_000;
const HOURS = 24;
const QUICK_HOURS = 6;
const MS_PER_HOUR = 3_600_000;
const SEED_COUNT = 5;
const SLOTS_PER_VM = 8;

/** Simulated deployments: three and four zones, with five services each. */
const DEPLOYMENTS: readonly DeploymentSize[] = [
  { zoneCount: 3, vmCounts: [6, 7, 7, 6, 9] },
  { zoneCount: 4, vmCounts: [8, 8, 8, 8, 8] },
];

/** Measures moves, buffer cost, shares and served work under each move policy. */
export class MovesMeasurement implements Measurement {
  readonly name = "moves";
  readonly summary = "capacity moves over recorded demand, without daemons";
  readonly targets = [];

  run(context: MeasurementContext): Promise<Outcome> {
    const hours = context.quick ? QUICK_HOURS : HOURS;
    const stepCount = hours * MS_PER_HOUR / STEP_MS;
    const hysteresisRuns: MoveFigures[] = [];
    const baselineRuns: MoveFigures[] = [];
    for (const deployment of DEPLOYMENTS) {
      for (let seed = 0; seed < SEED_COUNT; seed += 1) {
        const random = new SeededRandom(context.seed + seed);
        const demand = generateDemand({
          random,
          poolNames: listPoolNames(deployment),
          slotCounts: deployment.vmCounts.map((count) => count * SLOTS_PER_VM),
          stepCount,
          stepMs: STEP_MS,
        });
        const run = (policy: MovePolicy) =>
          runMovePolicy({
            deployment,
            policy,
            demand,
            stepCount,
            stepMs: STEP_MS,
          });
        hysteresisRuns.push(run(new HysteresisMovePolicy()));
        baselineRuns.push(run(new ReactiveMovePolicy()));
      }
      context.report(`${deployment.zoneCount} zones are done`);
    }
    const figures = { hours, ...summarize(hysteresisRuns, baselineRuns) };
    return Promise.resolve({ figures, plots: [] });
  }
}

function summarize(
  hysteresisRuns: readonly MoveFigures[],
  baselineRuns: readonly MoveFigures[],
): Record<string, number> {
  const mean = (runs: readonly MoveFigures[], field: keyof MoveFigures) =>
    runs.reduce((sum, run) => sum + run[field], 0) / runs.length;
  return {
    moveCount: mean(hysteresisRuns, "moveCount"),
    bufferCostVmHours: mean(hysteresisRuns, "bufferCostVmHours"),
    shareErrorRatio: mean(hysteresisRuns, "shareErrorRatio"),
    workRatio: mean(hysteresisRuns, "workRatio"),
    baselineMoveCount: mean(baselineRuns, "moveCount"),
    baselineBufferCostVmHours: mean(baselineRuns, "bufferCostVmHours"),
    baselineShareErrorRatio: mean(baselineRuns, "shareErrorRatio"),
    baselineWorkRatio: mean(baselineRuns, "workRatio"),
  };
}
