/** Measures the resource usage of each role of a deployment. */
import { SystemClock } from "../adapters/clock/index.ts";
import type { DeployedEntry, Deployment } from "../stand_ins/index.ts";
import { readProcessUsage } from "./process_usage.ts";

const PERCENT = 100;
const MS_PER_SECOND = 1_000;

/** Role of an entry. */
export type Role = "leader" | "voter" | "observer";

/** All roles, the one with the most work first. */
export const ROLES: readonly Role[] = ["leader", "voter", "observer"];

/** Mean usage of the entries of a role. */
export interface Usage {
  /** Resident memory, in MiB. */
  readonly rssMb: number;
  /** Processor time, as a percentage of one core. */
  readonly cpuPercent: number;
  /** Bytes sent to and received from other entries. */
  readonly controlBytesPerSecond: number;
}

/** Usage by role. */
export type RoleUsage = Readonly<Record<Role, Usage>>;

interface Sample {
  readonly rssMb: number;
  readonly cpuMs: number;
  readonly byteCount: number;
}

/**
 * Measures what each role uses while a function runs.
 *
 * @param deployment - Deployment whose entries to sample.
 * @param body - Runs between the two samples.
 * @returns The mean usage of the entries of each role.
 */
export async function measureRoles(
  deployment: Deployment,
  body: () => Promise<void>,
): Promise<RoleUsage> {
  const clock = new SystemClock();
  const leader = await deployment.findLeader();
  const startedAtMs = clock.monotonicMs();
  const before = await sampleEntries(deployment);
  await body();
  const after = await sampleEntries(deployment);
  const elapsedMs = clock.monotonicMs() - startedAtMs;
  const usages = deployment.entries.map((entry, index) => ({
    role: findRole(entry, leader),
    usage: computeUsage(before[index], after[index], elapsedMs),
  }));
  const averageRole = (role: Role) =>
    averageUsage(
      usages.filter((one) => one.role === role).map((one) => one.usage),
    );
  return {
    leader: averageRole("leader"),
    voter: averageRole("voter"),
    observer: averageRole("observer"),
  };
}

function findRole(entry: DeployedEntry, leader: DeployedEntry): Role {
  if (entry === leader) {
    return "leader";
  }
  return entry.plan.voter ? "voter" : "observer";
}

function sampleEntries(deployment: Deployment): Promise<Sample[]> {
  return Promise.all(deployment.entries.map(async ({ plan, daemon }) => ({
    ...await readProcessUsage(daemon.child.pid ?? 0),
    byteCount: await deployment.network.countBytes(plan.entryId),
  })));
}

function computeUsage(
  before: Sample | undefined,
  after: Sample | undefined,
  elapsedMs: number,
): Usage {
  if (before === undefined || after === undefined) {
    throw new Error("an entry was not sampled");
  }
  const byteCount = after.byteCount - before.byteCount;
  return {
    rssMb: after.rssMb,
    cpuPercent: (after.cpuMs - before.cpuMs) * PERCENT / elapsedMs,
    controlBytesPerSecond: byteCount * MS_PER_SECOND / elapsedMs,
  };
}

function averageUsage(usages: readonly Usage[]): Usage {
  const count = Math.max(1, usages.length);
  const mean = (field: keyof Usage) =>
    usages.reduce((sum, usage) => sum + usage[field], 0) / count;
  return {
    rssMb: mean("rssMb"),
    cpuPercent: mean("cpuPercent"),
    controlBytesPerSecond: mean("controlBytesPerSecond"),
  };
}
