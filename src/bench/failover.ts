/** Measures how long no change is accepted after the leader is killed or cut off. */
import { randomUUID } from "node:crypto";
import { SystemClock } from "../adapters/clock/index.ts";
import { type DeployedEntry, type Deployment } from "../stand_ins/index.ts";
import { ChangeWriter } from "./change_writer.ts";
import { LatencyHistogram } from "./latency_histogram.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import { startMeasuredDeployment } from "./measured_deployment.ts";

const QUICK_MS = 32_000;
const FULL_MS = 120_000;
const SETTLE_MS = 1_500;
const CHANGES_BEFORE_FAULT = 3;

/**
 * How the leader is lost: its process is killed, its network is cut both ways, or
 * only what it sends is cut.
 */
type Fault = "kill" | "isolate" | "oneWay";

const FAULTS: readonly Fault[] = ["kill", "isolate", "oneWay"];

/** Result of one round. */
interface Round {
  readonly fault: Fault;
  /** Time from the fault until the next change is accepted. */
  readonly unavailableMs: number;
  /** Number of changes that the isolated leader accepted. */
  readonly minorityAcceptedCount: number;
}

/** Measures the time without accepted changes after the leader is lost. */
export class FailoverMeasurement implements Measurement {
  readonly name = "failover";
  readonly summary = "how long no change is accepted after the leader is lost";
  readonly targets = [
    { field: "unavailableP99Ms", bound: "atMost", value: 3_000 },
    { field: "minorityAcceptedCount", bound: "atMost", value: 0 },
    { field: "lostCount", bound: "atMost", value: 0 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const deployment = await startMeasuredDeployment(context);
    const writer = new ChangeWriter(deployment);
    const clock = new SystemClock();
    const untilMs = clock.monotonicMs() + (context.quick ? QUICK_MS : FULL_MS);
    const rounds: Round[] = [];
    while (clock.monotonicMs() < untilMs) {
      const fault = FAULTS[rounds.length % FAULTS.length] ?? "kill";
      const round = await measureRound(deployment, writer, fault);
      rounds.push(round);
      context.report(`${fault}: ${Math.round(round.unavailableMs)} ms`);
    }
    const unavailable = new LatencyHistogram();
    rounds.forEach(({ unavailableMs }) => unavailable.record(unavailableMs));
    const urls = deployment.entries.map(({ plan }) => plan.url);
    return {
      figures: {
        roundCount: rounds.length,
        unavailableP99Ms: unavailable.percentileMs(99),
        minorityAcceptedCount: rounds.reduce(
          (sum, round) => sum + round.minorityAcceptedCount,
          0,
        ),
        lostCount: await writer.countLost(urls),
        unavailableP50Ms: unavailable.percentileMs(50),
        changeCount: writer.accepted.length,
      },
      plots: [{
        title: "Time without an accepted change, by round",
        xLabel: "round",
        yLabel: "ms",
        series: FAULTS.map((fault) => ({
          label: fault,
          points: rounds.flatMap((round, index): [number, number][] =>
            round.fault === fault ? [[index + 1, round.unavailableMs]] : []
          ),
        })),
      }],
    };
  }
}

async function measureRound(
  deployment: Deployment,
  writer: ChangeWriter,
  fault: Fault,
): Promise<Round> {
  const clock = new SystemClock();
  const leader = await deployment.findLeader();
  const otherUrls = deployment.entries
    .filter((entry) => entry !== leader)
    .map(({ plan }) => plan.url);
  for (
    let changeCount = 0;
    changeCount < CHANGES_BEFORE_FAULT;
    changeCount += 1
  ) {
    await writer.makeChange(otherUrls);
  }
  await injectFault(deployment, leader, fault);
  const lostAtMs = clock.monotonicMs();
  const isolatedAccepts = fault === "isolate"
    ? proposeToIsolatedLeader(deployment, leader)
    : Promise.resolve(0);
  const next = await writer.makeChange(otherUrls);
  const minorityAcceptedCount = await isolatedAccepts;
  await repairFault(deployment, leader, fault);
  await clock.sleep(SETTLE_MS);
  return {
    fault,
    unavailableMs: next.acceptedAtMs - lostAtMs,
    minorityAcceptedCount,
  };
}

async function injectFault(
  deployment: Deployment,
  leader: DeployedEntry,
  fault: Fault,
): Promise<void> {
  const { network, entries } = deployment;
  const leaderId = leader.plan.entryId;
  if (fault === "kill") {
    await leader.daemon.kill();
  } else if (fault === "isolate") {
    await network.isolate(leaderId);
  } else {
    const others = entries.filter((entry) => entry !== leader);
    await Promise.all(
      others.map(({ plan }) => network.cutOneWay(leaderId, plan.entryId)),
    );
  }
}

async function repairFault(
  deployment: Deployment,
  leader: DeployedEntry,
  fault: Fault,
): Promise<void> {
  await deployment.network.heal();
  if (fault === "kill") {
    await deployment.restart(leader);
  }
}

// Returns 1 if the isolated leader accepts a change, which it must not do without
// a quorum.
async function proposeToIsolatedLeader(
  deployment: Deployment,
  leader: DeployedEntry,
): Promise<number> {
  const { operator } = deployment;
  const { url } = leader.plan;
  const status = await operator.readStatus(url);
  const result = await operator.tryChange(url, {
    operationId: randomUUID(),
    expectedRevision: status.isOk ? status.value.revision : 0,
    puts: [],
    deletes: [],
  });
  return result.isOk ? 1 : 0;
}
