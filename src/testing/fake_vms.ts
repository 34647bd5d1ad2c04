/** VMs over the VM port, with fences, upkeep, and answers that come late. */
import { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";
import type {
  Clock,
  ListedVm,
  VmControl,
  VmFailure,
  VmOrderSource,
} from "../ports/index.ts";

const LATENCY_MS = 5;
const TIMEOUT_MS = 1_000;
const UPKEEP_MS = 2_000;
const VM_MILLICORES = 8_000;

/** Options of {@link FakeVms}. */
export interface FakeVmsOptions {
  readonly clock: Clock;
  /** Each VM has one runner, whose id is the name of the VM. */
  readonly names: readonly string[];
  readonly pool: string;
  /** Ends the runner of a VM, and all that runs there. */
  readonly crash: (vm: string) => void;
  /** Brings a new runner up on a VM. */
  readonly bringUp: (vm: string) => void;
}

/** VMs whose faults a test sets. */
export class FakeVms implements VmControl {
  /** Upkeeps as they really began, in order. */
  readonly begun: { readonly vm: string; readonly waveId: number }[] = [];
  /** Most VMs that were away for their upkeep at once. */
  maxAwayCount = 0;
  /** Whether orders are carried out without an answer. */
  losesAnswers = false;
  readonly #options: FakeVmsOptions;
  readonly #away = new Set<string>();
  readonly #fences = new Map<string, number>();

  constructor(options: FakeVmsOptions) {
    this.#options = options;
  }

  async list(): Promise<Result<readonly ListedVm[], Failure>> {
    const { clock, names, pool } = this.#options;
    await clock.sleep(LATENCY_MS);
    return Result.ok(names.map((vm): ListedVm => {
      const isAway = this.#away.has(vm);
      return {
        vm,
        pool,
        state: isAway ? "upkeep" : "up",
        zone: "zone-a",
        cpuMillicores: VM_MILLICORES,
        runnerId: isAway ? undefined : vm,
      };
    }));
  }

  move(): Promise<Result<void, VmFailure>> {
    return Promise.resolve(
      Result.err({ refusal: "invalid", message: "no moves here" }),
    );
  }

  async beginMaintenance(
    vm: string,
    waveId: number,
    { fencingToken }: VmOrderSource,
  ): Promise<Result<void, VmFailure>> {
    const { clock } = this.#options;
    await clock.sleep(LATENCY_MS);
    if (fencingToken < (this.#fences.get(vm) ?? 0)) {
      return Result.err({ refusal: "staleFence", message: "an older term" });
    }
    this.#fences.set(vm, fencingToken);
    const isDone = this.begun.some((known) =>
      known.vm === vm && known.waveId === waveId
    );
    if (!isDone) {
      this.#begin(vm, waveId);
    }
    if (this.losesAnswers) {
      await clock.sleep(TIMEOUT_MS);
      return Result.err({ message: "no answer" });
    }
    return Result.ok(undefined);
  }

  #begin(vm: string, waveId: number): void {
    const { bringUp, clock, crash } = this.#options;
    this.begun.push({ vm, waveId });
    this.#away.add(vm);
    this.maxAwayCount = Math.max(this.maxAwayCount, this.#away.size);
    crash(vm);
    void clock.sleep(UPKEEP_MS).then(() => {
      this.#away.delete(vm);
      bringUp(vm);
    });
  }
}
