/** A fake of the VM port with fencing, VM maintenance and lost answers. */
import { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";
import type {
  Clock,
  ListedVm,
  VmControl,
  VmFailure,
  VmListing,
  VmOrderSource,
  VmRefusal,
} from "../ports/index.ts";

const DEFAULT_LATENCY_MS = 5;
const TIMEOUT_MS = 1_000;
const MAINTENANCE_MS = 2_000;
const VM_MILLICORES = 8_000;

/** Options of {@link FakeVms}. */
export interface FakeVmsOptions {
  readonly clock: Clock;
  /** Each VM has one runner, whose id is the name of the VM. */
  readonly names: readonly string[];
  /** Pool of all VMs. */
  readonly pool: string;
  /** Called when a VM goes down; ends its runner and everything on it. */
  readonly crash: (vm: string) => void;
  /** Called when a VM is back; starts a new incarnation of its runner. */
  readonly startRunner: (vm: string) => void;
}

/** VMs with injectable faults. */
export class FakeVms implements VmControl {
  readonly maxOrdersPerSecond = Infinity;
  /** Every maintenance that was started, in order. */
  readonly startedMaintenances: {
    readonly vm: string;
    readonly waveId: number;
    /** Monotonic time (ms). */
    readonly atMs: number;
    /** Monotonic time at which the VM is back (ms). */
    readonly toMs: number;
  }[] = [];
  /** Every request for maintenance, in the order in which they were sent. */
  readonly requests: {
    readonly fencingToken: number;
    /** Monotonic time (ms). */
    readonly atMs: number;
  }[] = [];
  /** Highest number of VMs that were in maintenance at the same time. */
  maxUnavailableCount = 0;
  /** Whether maintenance requests are carried out but get no answer. */
  losesAnswers = false;
  /** Waves to which no VM belongs, as far as the platform knows. */
  readonly refusedWaveIds = new Set<number>();
  /** VMs that do not exist any more. */
  readonly goneVms = new Set<string>();
  /** VMs that are down: the list leaves them out, and orders are refused. */
  readonly downVms = new Set<string>();
  /** VMs that are leaving: listed as up, while orders are refused. */
  readonly busyVms = new Set<string>();
  /** VMs that the list leaves out. */
  readonly unlistedVms = new Set<string>();
  /** VMs whose entry in the list can be read only in part. */
  readonly unreadableVms = new Set<string>();
  /** VMs whose entry in the list names no runner. */
  readonly emptyVms = new Set<string>();
  /** Whether the name of every entry in the list can be read. */
  isListComplete = true;
  /** Time until a request takes effect, in milliseconds. */
  latencyMs = DEFAULT_LATENCY_MS;
  readonly #options: FakeVmsOptions;
  readonly #vmsInMaintenance = new Set<string>();
  readonly #fencingTokens = new Map<string, number>();

  constructor(options: FakeVmsOptions) {
    this.#options = options;
  }

  async list(): Promise<Result<VmListing, Failure>> {
    const { clock, names, pool } = this.#options;
    await clock.sleep(this.latencyMs);
    const vms = names
      .filter((vm) =>
        ![this.unlistedVms, this.goneVms, this.downVms].some((left) =>
          left.has(vm)
        )
      )
      .map((vm): ListedVm => ({
        vm,
        pool,
        state: this.#findState(vm),
        zone: "zone-a",
        capacity: { cpuMillicores: VM_MILLICORES, memoryMb: 100, gpuCount: 0 },
        labels: [],
        runnerId: this.#findState(vm) === "up" && !this.emptyVms.has(vm)
          ? vm
          : undefined,
      }));
    return Result.ok({ vms, isComplete: this.isListComplete });
  }

  #findState(vm: string): ListedVm["state"] {
    if (this.unreadableVms.has(vm)) {
      return "unknown";
    }
    return this.#vmsInMaintenance.has(vm) ? "upkeep" : "up";
  }

  move(): Promise<Result<void, VmFailure>> {
    return Promise.resolve(
      Result.err({
        refusal: "invalid",
        message: "moves are not supported by this fake",
      }),
    );
  }

  async beginMaintenance(
    vm: string,
    waveId: number,
    { fencingToken }: VmOrderSource,
  ): Promise<Result<void, VmFailure>> {
    const { clock } = this.#options;
    this.requests.push({ fencingToken, atMs: clock.monotonicMs() });
    await clock.sleep(this.latencyMs);
    if (fencingToken < (this.#fencingTokens.get(vm) ?? 0)) {
      return Result.err({
        refusal: "staleFence",
        message: "the fencing token is outdated",
      });
    }
    this.#fencingTokens.set(vm, fencingToken);
    const isDone = this.startedMaintenances.some((known) =>
      known.vm === vm && known.waveId === waveId
    );
    const refusal = this.#findRefusal(vm, waveId);
    if (!isDone && refusal !== undefined) {
      return Result.err({ refusal, message: "the order is refused" });
    }
    if (!isDone) {
      this.#startMaintenance(vm, waveId);
    }
    if (this.losesAnswers) {
      await clock.sleep(TIMEOUT_MS);
      return Result.err({ message: "no answer" });
    }
    return Result.ok(undefined);
  }

  /** Returns whether a VM is in maintenance. */
  isInMaintenance(vm: string): boolean {
    return this.#vmsInMaintenance.has(vm);
  }

  #findRefusal(vm: string, waveId: number): VmRefusal | undefined {
    if (this.goneVms.has(vm)) {
      return "invalid";
    }
    if (this.refusedWaveIds.has(waveId)) {
      return "otherWave";
    }
    const isBusy = this.#vmsInMaintenance.has(vm) || this.downVms.has(vm) ||
      this.busyVms.has(vm);
    return isBusy ? "busy" : undefined;
  }

  #startMaintenance(vm: string, waveId: number): void {
    const { startRunner, clock, crash } = this.#options;
    const atMs = clock.monotonicMs();
    const toMs = atMs + MAINTENANCE_MS;
    this.startedMaintenances.push({ vm, waveId, atMs, toMs });
    this.#vmsInMaintenance.add(vm);
    this.maxUnavailableCount = Math.max(
      this.maxUnavailableCount,
      this.#vmsInMaintenance.size,
    );
    crash(vm);
    void clock.sleep(MAINTENANCE_MS).then(() => {
      this.#vmsInMaintenance.delete(vm);
      if (!this.goneVms.has(vm)) {
        startRunner(vm);
      }
    });
  }
}
