/** Ejects backend servers that fail work which other servers can run. */
import type { FleetIndexCache, HealthPolicy } from "../../decisions/index.ts";
import type { Clock, Logger } from "../../ports/index.ts";
import type { BackendDirectory } from "../backend_directory.ts";
import type { DecisionRecorder } from "../decision_recorder.ts";
import type { Permit } from "../permits.ts";

/** Options of {@link BackendHealth}. */
export interface BackendHealthOptions {
  readonly policy: HealthPolicy;
  readonly directory: BackendDirectory;
  readonly fleet: FleetIndexCache;
  readonly recorder: DecisionRecorder;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Applies the health policy on this entry and records every ejection. */
export class BackendHealth {
  readonly #options: BackendHealthOptions;

  constructor(options: BackendHealthOptions) {
    this.#options = options;
  }

  /**
   * Lists the backend servers that currently get no new work.
   *
   * @param poolNames - Pools that may run the work.
   * @returns Ids of ejected backend servers.
   */
  listEjected(poolNames: readonly string[]): string[] {
    const { policy, clock } = this.#options;
    if (!policy.hasSuspects()) {
      return [];
    }
    const members = this.#listMembers(poolNames);
    const nowMs = clock.monotonicMs();
    return poolNames.flatMap((pool) =>
      policy.listEjected({
        pool,
        backendServerIds: members.get(pool) ?? [],
        nowMs,
      })
    );
  }

  /**
   * Records that an attempt starts.
   *
   * @param permit - The permit of the attempt.
   */
  recordStart(permit: Permit): void {
    const { policy, clock } = this.#options;
    policy.recordStart(permit.backend.backendServerId, clock.monotonicMs());
  }

  /**
   * Records the result of an attempt and ejects its backend server if needed.
   *
   * @param permit - The permit of the attempt.
   * @param fingerprint - Digest of the work; equal work has an equal digest.
   * @param healthy - Whether the backend server proved healthy; undefined when
   * the attempt gave no evidence.
   */
  recordResult(
    permit: Permit,
    fingerprint: string,
    healthy: boolean | undefined,
  ): void {
    if (healthy === undefined) {
      return;
    }
    const { policy, clock, recorder, logger } = this.#options;
    const ejection = policy.recordResult({
      backendServerId: permit.backend.backendServerId,
      pool: permit.pool,
      healthy,
      fingerprint,
      nowMs: clock.monotonicMs(),
    });
    if (ejection === undefined) {
      return;
    }
    const { backendServerId, pool, ...figures } = ejection;
    const decisionId = recorder.record({
      action: "ejection",
      subjects: [`vm/${permit.backend.vm}`, `pool/${pool}`],
      summary:
        `backend server ${backendServerId} gets no new work for a time: it failed what it was given`,
      causes: [],
      figures,
    });
    logger.warn({ backendServerId, decisionId, ...figures }, "ejected");
  }

  #listMembers(poolNames: readonly string[]): Map<string, string[]> {
    const { directory, fleet } = this.#options;
    const index = fleet.current();
    const members = new Map(
      poolNames.map((pool) => [pool, [] as string[]] as const),
    );
    for (const { announcement } of directory.listServing()) {
      const pool = index.findVm(announcement.vm)?.pool ?? "";
      members.get(pool)?.push(announcement.backendServerId);
    }
    return members;
  }
}
