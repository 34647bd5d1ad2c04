/** Moves and upkeep of VMs, as the scheduler sees them. */
import type { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly vm: string;
  readonly pool: string;
  readonly state: "up" | "moving" | "upkeep" | "down";
  readonly zone: string;
  readonly cpuMillicores: number;
  /** Runner that lives on the VM, if any. */
  readonly runnerId: string | undefined;
}

/** Who gives an order about a VM. */
export interface VmOrderSource {
  readonly holderId: string;
  readonly fencingToken: number;
}

/** Why the platform refused an order about a VM. */
export type VmRefusal =
  | "staleFence"
  | "busy"
  | "otherWave"
  | "invalid"
  | "rate";

/** An order about a VM that was refused or got no answer. */
export interface VmFailure {
  /** Absent when the order may have been carried out. */
  readonly refusal?: VmRefusal | undefined;
  readonly message: string;
}

/** Orders about VMs; an order that is done already succeeds again. */
export interface VmControl {
  /** Lists all VMs. */
  list(): Promise<Result<readonly ListedVm[], Failure>>;
  /** Moves a VM to another pool; everything on it ends at once. */
  move(
    vm: string,
    pool: string,
    source: VmOrderSource,
  ): Promise<Result<void, VmFailure>>;
  /** Begins the upkeep of a VM; everything on it ends at once. */
  beginMaintenance(
    vm: string,
    waveId: number,
    source: VmOrderSource,
  ): Promise<Result<void, VmFailure>>;
}
