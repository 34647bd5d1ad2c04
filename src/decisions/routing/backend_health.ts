/** Keeps new work away from backend servers that fail what they start. */

/** How attempts at one backend server ended since the last evidence. */
export interface HealthEvidence {
  readonly backendServerId: string;
  readonly pool: string;
  readonly healthyCount: number;
  readonly unhealthyCount: number;
}

/** A way of judging backend servers by how attempts end there. */
export interface BackendHealth {
  /**
   * Takes in how attempts ended.
   *
   * @param evidence - Counts for one backend server.
   */
  record(evidence: HealthEvidence): void;
  /**
   * Tells whether a backend server gets no new work for now.
   *
   * @param backendServerId - Id of the backend server.
   * @param pool - The pool that it serves.
   * @returns True while it is taken out.
   */
  isEjected(backendServerId: string, pool: string): boolean;
}

/** Baseline: takes no backend server out. */
export class AlwaysHealthy implements BackendHealth {
  record(_evidence: HealthEvidence): void {}

  isEjected(_backendServerId: string, _pool: string): boolean {
    return false;
  }
}
