/**
 * Measures the restart of a voter after many changes, the replacement of its disk,
 * and the loss of another voter after that.
 */
import { rm } from "node:fs/promises";
import { join } from "node:path";
import { SystemClock } from "../adapters/clock/index.ts";
import { type DeployedEntry, type Deployment } from "../stand_ins/index.ts";
import { ChangeWriter } from "./change_writer.ts";
import type {
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import { startMeasuredDeployment } from "./measured_deployment.ts";

const QUICK_MS = 15_000;
const FULL_CHANGE_COUNT = 10_000;
const FULL_MS = 400_000;
const POLL_MS = 20;
const REPAIR_DEADLINE_MS = 20_000;
const DATA_FOLDER = "data";
const MEMBERSHIP_CHANGE_COUNT = 2;

/** Measures restart and repair of a voter. */
export class RecoveryMeasurement implements Measurement {
  readonly name = "recovery";
  readonly summary = "restart after many changes, and repair of a lost disk";
  readonly targets = [
    { field: "restartMs", bound: "atMost", value: 1_000 },
    { field: "lostCount", bound: "atMost", value: 0 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    // Only voters have a disk to recover, so no other entries are needed.
    const deployment = await startMeasuredDeployment(context, {
      entryCount: context.voterCount,
      delayMs: 0,
    });
    const writer = new ChangeWriter(deployment);
    await this.#makeChanges(context, deployment, writer);
    const leader = await deployment.findLeader();
    const [replacedEntry, lostEntry] = deployment.entries
      .filter((entry) => entry !== leader);
    if (replacedEntry === undefined || lostEntry === undefined) {
      throw new Error("recovery needs at least three voters: --voters 3");
    }
    const restartMs = await measureRestart(deployment, replacedEntry, writer);
    context.report(`restart after ${Math.round(restartMs)} ms`);
    const replacedVoterMs = await measureDiskReplacement(
      deployment,
      leader,
      replacedEntry,
    );
    context.report(
      `the entry votes with its new disk after ${
        Math.round(replacedVoterMs)
      } ms`,
    );
    await lostEntry.daemon.kill();
    await rm(join(lostEntry.plan.folder, DATA_FOLDER), { recursive: true });
    const remainingUrls = deployment.entries
      .filter((entry) => entry !== lostEntry)
      .map(({ plan }) => plan.url);
    const lostAtMs = new SystemClock().monotonicMs();
    const next = await writer.makeChange(remainingUrls);
    return {
      figures: {
        changeCount: writer.accepted.length,
        restartMs,
        replacedVoterMs,
        lostCount: await writer.countLost(remainingUrls),
        acceptedAgainMs: next.acceptedAtMs - lostAtMs,
      },
      plots: [],
    };
  }

  async #makeChanges(
    context: MeasurementContext,
    deployment: Deployment,
    writer: ChangeWriter,
  ): Promise<void> {
    const clock = new SystemClock();
    const leader = await deployment.findLeader();
    const durationMs = context.quick ? QUICK_MS : FULL_MS;
    const untilMs = clock.monotonicMs() + durationMs;
    while (
      writer.accepted.length < FULL_CHANGE_COUNT &&
      clock.monotonicMs() < untilMs
    ) {
      await writer.makeChange([leader.plan.url]);
    }
    context.report(`${writer.accepted.length} changes are accepted`);
  }
}

async function measureRestart(
  deployment: Deployment,
  entry: DeployedEntry,
  writer: ChangeWriter,
): Promise<number> {
  await entry.daemon.kill();
  const startedAtMs = new SystemClock().monotonicMs();
  await deployment.restart(entry);
  const lostCount = await writer.countLost([entry.plan.url]);
  if (lostCount > 0) {
    throw new Error(`${lostCount} changes are missing after the restart`);
  }
  return new SystemClock().monotonicMs() - startedAtMs;
}

async function measureDiskReplacement(
  deployment: Deployment,
  leader: DeployedEntry,
  entry: DeployedEntry,
): Promise<number> {
  const clock = new SystemClock();
  await entry.daemon.kill();
  await rm(join(entry.plan.folder, DATA_FOLDER), { recursive: true });
  const initialCommitIndex = await readCommitIndex(deployment, leader);
  const startedAtMs = clock.monotonicMs();
  await deployment.restart(entry);
  while (
    !(await isVotingAgain(deployment, leader, entry, initialCommitIndex))
  ) {
    if (clock.monotonicMs() - startedAtMs > REPAIR_DEADLINE_MS) {
      throw new Error(`${entry.plan.entryId} did not vote again in time`);
    }
    await clock.sleep(POLL_MS);
  }
  return clock.monotonicMs() - startedAtMs;
}

// The role alone is not enough, since the entry was a voter with its old disk too.
// With its new disk, it votes once two membership changes are committed.
async function isVotingAgain(
  deployment: Deployment,
  leader: DeployedEntry,
  entry: DeployedEntry,
  initialCommitIndex: number,
): Promise<boolean> {
  const commitIndex = await readCommitIndex(deployment, leader);
  const roles = await deployment.operator.readRoles(leader.plan.url);
  return commitIndex >= initialCommitIndex + MEMBERSHIP_CHANGE_COUNT &&
    roles.get(entry.plan.entryId) === "voter";
}

async function readCommitIndex(
  { operator }: Deployment,
  { plan }: DeployedEntry,
): Promise<number> {
  const status = await operator.readStatus(plan.url);
  if (status.isErr) {
    throw new Error(`${plan.entryId}: ${status.error.message}`);
  }
  return status.value.commitIndex;
}
