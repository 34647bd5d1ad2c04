/** The values of the scheduling state in a snapshot. */
import type { Catalog } from "./catalog.ts";
import type { EndedRunner } from "./ended_runners.ts";
import type { StoredJob } from "./job_record.ts";
import type { Runner } from "./runner.ts";
import type { RunnerEvidenceRecord } from "./runner_evidence.ts";
import type { StartName } from "./unconfirmed_starts.ts";

/** A wave, which puts a set of VMs through maintenance, with its progress. */
export interface WaveRecord {
  readonly waveId: number;
  readonly vms: readonly string[];
  /** Maximum number of VMs that may be in maintenance at once. */
  readonly maxAwayCount: number;
  /** Wall-clock time by which the maintenance of every VM must be done (ms). */
  readonly completeByMs: number;
  /**
   * Time that the request gave for it (ms). Absent in records of earlier
   * releases.
   */
  readonly completeWithinMs?: number | undefined;
  /** State by VM, for VMs whose maintenance was ordered or is done. */
  readonly progress: Readonly<Record<string, "ordered" | "done">>;
}

/** One value of the scheduling state in a snapshot. */
export type SchedulingItem =
  | { readonly type: "catalog"; readonly catalog: Catalog }
  | { readonly type: "zonesOut"; readonly zones: readonly string[] }
  | { readonly type: "runner"; readonly runner: Runner }
  /** Absent in snapshots of earlier releases. */
  | {
    readonly type: "endedRunners";
    readonly runners: readonly EndedRunner[];
  }
  | { readonly type: "wave"; readonly wave: WaveRecord }
  | { readonly type: "job"; readonly job: StoredJob }
  // Absent in snapshots of releases that did not record confirmations.
  | { readonly type: "unconfirmed"; readonly starts: readonly StartName[] }
  // Absent in snapshots of earlier releases, which skip it when they read one.
  | {
    readonly type: "runnerEvidence";
    readonly records: readonly RunnerEvidenceRecord[];
  };
