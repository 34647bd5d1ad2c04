/** Ejects backend servers that fail work which others can run. */
import type {
  AttemptResult,
  Ejection,
  HealthPolicy,
  PoolMembers,
} from "./health_policy.ts";
import { WorkEvidence } from "./work_evidence.ts";

const KEPT_RESULT_COUNT = 20;
const MIN_EVIDENCE_COUNT = 5;
const MIN_FAILED_FRACTION = 0.5;
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 60_000;
const PROBE_INTERVAL_MS = 1_000;
const PROBES_TO_RESTORE = 3;
const MAX_EJECTED_FRACTION = 1 / 3;

interface Server {
  readonly backendServerId: string;
  readonly pool: string;
  /** The latest results, oldest first; true means a failure of the server. */
  results: boolean[];
  /** Fingerprints of failures with unclear cause, so that each counts once. */
  readonly unclearFingerprints: Set<string>;
  phase: "serving" | "ejected" | "probation";
  ejectionCount: number;
  /** End of the ejection, or time of the next probe, on the monotonic clock. */
  untilMs: number;
  healthyProbeCount: number;
}

/**
 * Ejects a backend server when at least half of its latest results, and at
 * least five, are failures that count against it. The duration doubles with
 * each ejection. Afterwards the server is on probation: it gets one attempt a
 * second, is restored after three successes, and is ejected again by a failure.
 */
export class OutlierHealthPolicy implements HealthPolicy {
  readonly #servers = new Map<string, Server>();
  readonly #suspects = new Set<Server>();
  readonly #work = new WorkEvidence();

  recordResult(result: AttemptResult): Ejection | undefined {
    const server = this.#findOrCreate(result);
    this.#updatePhase(server, result.nowMs);
    if (result.healthy) {
      this.#work.recordSuccess(result.fingerprint, server.backendServerId);
      this.#addHealthy(server);
      return undefined;
    }
    if (!this.#isEvidence(server, result.fingerprint)) {
      return undefined;
    }
    addResult(server, true);
    const failedCount = server.results.filter((isBad) => isBad).length;
    const isBad = failedCount >= MIN_EVIDENCE_COUNT &&
      failedCount >= server.results.length * MIN_FAILED_FRACTION;
    const mayEject = server.phase === "probation" ||
      (server.phase === "serving" && isBad);
    return mayEject
      ? this.#eject(server, failedCount, result.nowMs)
      : undefined;
  }

  recordStart(backendServerId: string, nowMs: number): void {
    const server = this.#servers.get(backendServerId);
    if (server?.phase === "probation") {
      server.untilMs = nowMs + PROBE_INTERVAL_MS;
    }
  }

  hasSuspects(): boolean {
    return this.#suspects.size > 0;
  }

  listEjected({ pool, backendServerIds, nowMs }: PoolMembers): string[] {
    const members = new Set(backendServerIds);
    const out = [...this.#suspects].filter((server) =>
      server.pool === pool && members.has(server.backendServerId) &&
      this.#isOut(server, nowMs)
    );
    const allowedCount = members.size < 2
      ? 0
      : Math.max(1, Math.floor(members.size * MAX_EJECTED_FRACTION));
    // Above the limit, only the servers with the most ejections stay out.
    return out
      .sort((left, right) => right.ejectionCount - left.ejectionCount)
      .slice(0, allowedCount)
      .map(({ backendServerId }) => backendServerId);
  }

  #findOrCreate({ backendServerId, pool }: AttemptResult): Server {
    const known = this.#servers.get(backendServerId);
    if (known?.pool === pool) {
      return known;
    }
    if (known !== undefined) {
      this.#suspects.delete(known);
    }
    const server: Server = {
      backendServerId,
      pool,
      results: [],
      unclearFingerprints: new Set(),
      phase: "serving",
      ejectionCount: 0,
      untilMs: 0,
      healthyProbeCount: 0,
    };
    this.#servers.set(backendServerId, server);
    return server;
  }

  #isEvidence(server: Server, fingerprint: string): boolean {
    const cause = this.#work.recordFailure(fingerprint, server.backendServerId);
    if (cause !== "unclear") {
      return cause === "backendServer";
    }
    const isNew = !server.unclearFingerprints.has(fingerprint);
    server.unclearFingerprints.add(fingerprint);
    if (server.unclearFingerprints.size > KEPT_RESULT_COUNT) {
      server.unclearFingerprints.clear();
    }
    return isNew;
  }

  #addHealthy(server: Server): void {
    addResult(server, false);
    server.unclearFingerprints.clear();
    if (server.phase !== "probation") {
      return;
    }
    server.healthyProbeCount += 1;
    if (server.healthyProbeCount >= PROBES_TO_RESTORE) {
      server.phase = "serving";
      server.results = [];
      this.#suspects.delete(server);
    }
  }

  #eject(server: Server, failedCount: number, nowMs: number): Ejection {
    const ejectedMs = Math.min(
      FIRST_EJECTION_MS * 2 ** server.ejectionCount,
      MAX_EJECTION_MS,
    );
    const resultCount = server.results.length;
    server.phase = "ejected";
    server.ejectionCount += 1;
    server.untilMs = nowMs + ejectedMs;
    server.healthyProbeCount = 0;
    server.results = [];
    server.unclearFingerprints.clear();
    this.#suspects.add(server);
    const { backendServerId, pool, ejectionCount } = server;
    return {
      backendServerId,
      pool,
      failedCount,
      resultCount,
      ejectedMs,
      ejectionCount,
    };
  }

  #isOut(server: Server, nowMs: number): boolean {
    this.#updatePhase(server, nowMs);
    return server.phase !== "serving" && nowMs < server.untilMs;
  }

  #updatePhase(server: Server, nowMs: number): void {
    if (server.phase === "ejected" && nowMs >= server.untilMs) {
      server.phase = "probation";
    }
  }
}

function addResult(server: Server, isBad: boolean): void {
  server.results.push(isBad);
  if (server.results.length > KEPT_RESULT_COUNT) {
    server.results.shift();
  }
}
