/** Port for moves and maintenance of VMs. */
import type { Result } from "true-myth";
import type { Amounts, Failure } from "../domain/index.ts";

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly vm: string;
  readonly pool: string;
  /**
   * State of the VM; `upkeep` means that it is in maintenance, `unknown` that
   * its entry cannot be read except for the name.
   */
  readonly state: "up" | "moving" | "upkeep" | "down" | "unknown";
  readonly zone: string;
  /** Zero if the list does not tell. */
  readonly capacity: Amounts;
  /** Kind and rack of the VM; undefined if the list does not tell. */
  readonly labels: readonly string[] | undefined;
  /** Runner on the VM, if any. */
  readonly runnerId: string | undefined;
}

/** The list of VMs. */
export interface VmListing {
  readonly vms: readonly ListedVm[];
  /** Whether the name of every entry can be read. */
  readonly isComplete: boolean;
}

/** Identifies the leader that sends an order about a VM. */
export interface VmOrderSource {
  readonly holderId: string;
  readonly fencingToken: number;
}

/** Reason for which the platform refused an order about a VM. */
export type VmRefusal =
  /** A leader with a higher fencing token has already sent orders. */
  | "staleFence"
  | "busy"
  | "otherWave"
  | "invalid"
  /** The platform limits the rate of orders (HTTP 429). */
  | "rate";

/** Failure of an order about a VM that was refused or got no answer. */
export interface VmFailure {
  /** Absent when the order may have been carried out. */
  readonly refusal?: VmRefusal | undefined;
  readonly message: string;
}

/** Sends orders about VMs. Repeating an order that is already done succeeds. */
export interface VmControl {
  /** Orders that the platform accepts from all leaders together, a second. */
  readonly maxOrdersPerSecond: number;
  /** Lists all VMs. */
  list(): Promise<Result<VmListing, Failure>>;
  /** Moves a VM to another pool; all work on the VM ends immediately. */
  move(
    vm: string,
    pool: string,
    source: VmOrderSource,
  ): Promise<Result<void, VmFailure>>;
  /** Begins the maintenance of a VM; all work on the VM ends immediately. */
  beginMaintenance(
    vm: string,
    waveId: number,
    source: VmOrderSource,
  ): Promise<Result<void, VmFailure>>;
}
