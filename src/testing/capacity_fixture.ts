/** Runs the capacity task of one leader over pools of VMs that can be moved. */
import { Result } from "true-myth";
import {
  type CapacityPolicy,
  type DemandForecast,
  NoForecast,
} from "../decisions/index.ts";
import type { Failure, JobStep, Runner } from "../domain/index.ts";
import type { ListedVm, VmControl, VmListing } from "../ports/index.ts";
import {
  CapacityTask,
  PoolAccounts,
  PoolLoads,
  RunnerStatus,
  SchedulingLog,
} from "../services/scheduling/index.ts";
import { FakeAgreement } from "./fake_agreement.ts";
import { FakeClock } from "./fake_clock.ts";
import { FakeLogger } from "./fake_ports.ts";

/** CPU of each VM, in millicores. */
export const VM_MILLICORES = 8_000;

/** A pool of the fixture. */
export interface FixturePool {
  readonly name: string;
  readonly isStandby: boolean;
  readonly vmCount: number;
}

/** Options of {@link CapacityFixture}. */
export interface CapacityFixtureOptions {
  readonly pools: readonly FixturePool[];
  readonly policy: CapacityPolicy;
  readonly forecast?: DemandForecast;
  /** Whether the runners have answered the leader; true by default. */
  readonly isHeard?: boolean;
}

/** VMs that can be moved at once, without faults. */
export class MovableVms implements VmControl {
  readonly maxOrdersPerSecond = Infinity;
  readonly moves: { readonly vm: string; readonly from: string }[] = [];
  listCount = 0;
  #vms: readonly ListedVm[] = [];

  /** Adds a VM with a runner of its name, or without one. */
  add(vm: string, pool: string, hasRunner = true): void {
    this.#vms = [...this.#vms, {
      vm,
      pool,
      state: "up",
      zone: "zone-a",
      capacity: { cpuMillicores: VM_MILLICORES, memoryMb: 100, gpuCount: 0 },
      labels: [],
      runnerId: hasRunner ? vm : undefined,
    }];
  }

  list(): Promise<Result<VmListing, Failure>> {
    this.listCount += 1;
    return Promise.resolve(Result.ok({ vms: this.#vms, isComplete: true }));
  }

  move(vm: string, pool: string) {
    const from = this.#vms.find((listed) => listed.vm === vm)?.pool ?? "";
    this.moves.push({ vm, from });
    this.#vms = this.#vms.map((listed) =>
      listed.vm === vm ? { ...listed, pool, runnerId: undefined } : listed
    );
    return Promise.resolve(Result.ok(undefined));
  }

  beginMaintenance(): never {
    throw new Error("not part of this fixture");
  }
}

/** Pools with VMs named `POOL-NUMBER`; standby pools have no runners. */
export class CapacityFixture {
  readonly clock = new FakeClock();
  readonly agreement = new FakeAgreement(this.clock);
  readonly vms = new MovableVms();
  readonly #stop = new AbortController();
  #jobCount = 0;

  constructor(options: CapacityFixtureOptions) {
    this.#putCatalog(options.pools);
    for (const { isStandby, name, vmCount } of options.pools) {
      for (let at = 0; at < vmCount; at += 1) {
        const vm = `${name}-${at}`;
        this.vms.add(vm, name, !isStandby);
        if (!isStandby) {
          this.addRunner(vm, name);
        }
      }
    }
    void this.#createTask(options).run(this.#stop.signal);
  }

  /** Announces a runner incarnation. */
  addRunner(runnerId: string, pool: string, bornAtMs = 1): void {
    const runner: Runner = {
      runnerId,
      bornAtMs,
      address: "127.0.0.1:1",
      pool,
      zone: "zone-a",
      capacity: { cpuMillicores: VM_MILLICORES, memoryMb: 100, gpuCount: 0 },
      rack: runnerId,
      labels: [],
      isDraining: false,
    };
    this.agreement.state.apply({
      type: "scheduling",
      atMs: this.clock.nowMs(),
      operations: [{ type: "runner", runner }],
    });
  }

  /**
   * Accepts a job whose tasks wait from now on.
   *
   * @returns The id of the job.
   */
  accept(pool: string, steps: readonly JobStep[]): string {
    this.#jobCount += 1;
    const jobId = String(this.#jobCount).padStart(16, "0");
    this.agreement.state.apply({
      type: "scheduling",
      atMs: this.clock.nowMs(),
      operations: [{
        type: "accept",
        spec: { jobId, text: "", steps: [...steps] },
        queue: `queue of ${pool}`,
        pool,
        team: undefined,
        maxAttempts: 2,
      }],
    });
    return jobId;
  }

  /** Starts a task of the first step of a job on a runner. */
  start(jobId: string, index: number, runnerId: string): void {
    this.agreement.state.apply({
      type: "scheduling",
      atMs: this.clock.nowMs(),
      operations: [{
        type: "start",
        task: { jobId, occurrence: 0, step: 0, index },
        runNumber: 1,
        runnerId,
        bornAtMs: 1,
      }],
    });
  }

  /** Ends the task. */
  stop(): void {
    this.#stop.abort();
  }

  #createTask(
    { forecast, isHeard = true, policy }: CapacityFixtureOptions,
  ): CapacityTask {
    const { agreement, clock, vms } = this;
    const status = new RunnerStatus(clock);
    status.isSynced = isHeard;
    const findStatus = () => {
      status.recordContact();
      return status;
    };
    const shared = {
      log: new SchedulingLog({ agreement, clock }),
      fleet: { findStatus, retire: () => {} },
      clock,
      isInMaintenance: () => false,
    };
    const accounts = new PoolAccounts({
      ...shared,
      mayPlaceOn: () => isHeard,
      isMoving: () => false,
    });
    return new CapacityTask({
      ...shared,
      accounts,
      loads: new PoolLoads({
        ...shared,
        accounts,
        forecast: forecast ?? new NoForecast(),
        awaitsMaintenance: () => false,
      }),
      vms,
      policy,
      logger: new FakeLogger(),
      holderId: "leader",
      fencingToken: 1,
    });
  }

  #putCatalog(pools: readonly FixturePool[]): void {
    this.agreement.state.apply({
      type: "scheduling",
      atMs: 0,
      operations: [{
        type: "catalog",
        catalog: {
          version: 1,
          queues: [],
          pools: pools.map(({ isStandby, name }) => ({
            name,
            isStandby,
            guardsCapacity: false,
          })),
          teams: [],
          source: "",
        },
      }],
    });
  }
}
