import * as assert from "uvu/assert";
import type { Catalog } from "../../domain/index.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { OperationsService } from "./operations_service.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const WAIT_MS = 1_000;

function createCatalog(version: number, source = `text ${version}`): Catalog {
  return { version, queues: [], pools: [], teams: [], source };
}

function createService() {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  const log = new SchedulingLog({ agreement, clock });
  const logger = new FakeLogger();
  const service = new OperationsService({ log, clock, logger });
  const run = <T>(promise: Promise<T>) => clock.runUntil(promise, WAIT_MS);
  const replace = (catalog: unknown) => run(service.replaceCatalog(catalog));
  return { agreement, log, replace, run, service };
}

describe("operator requests", () => {
  describe("catalog", () => {
    it("is read back as it was sent", async () => {
      const { replace, service } = createService();
      await replace(createCatalog(3));
      const read = service.readCatalog();
      assert.is(read.isOk && read.value.source, "text 3");
    });

    it("of an older version is acknowledged and changes nothing", async () => {
      const { replace, service } = createService();
      await replace(createCatalog(3));
      const taken = await replace(createCatalog(2));
      assert.is(taken.isOk && taken.value.version, 3);
      const read = service.readCatalog();
      assert.is(read.isOk && read.value.source, "text 3");
    });

    it("of the same version never replaces the content in force", async () => {
      const { replace, service } = createService();
      await replace(createCatalog(3));
      await replace(createCatalog(3, "other text"));
      const read = service.readCatalog();
      assert.is(read.isOk && read.value.source, "text 3");
    });

    it("that is invalid is refused, whatever its version", async () => {
      const { agreement, replace } = createService();
      const shared = ["a", "b"].map((name) => ({
        name,
        keys: ["same"],
        priority: 0,
        weight: 1,
        limit: {},
      }));
      const refused = await replace({ ...createCatalog(9), teams: shared });
      assert.is(refused.isErr && refused.error.kind, "invalidInput");
      assert.is(agreement.commands.length, 0);
    });

    it("is not acknowledged before it is in the log", async () => {
      const { agreement, replace } = createService();
      agreement.fault = "refused";
      assert.ok((await replace(createCatalog(1))).isErr);
    });
  });

  describe("wave", () => {
    const request = {
      waveId: 1,
      vms: ["vm-1", "vm-2"],
      maxAwayCount: 1,
      completeWithinMs: 20_000,
    };

    it("is complete once the maintenance of every VM is done", async () => {
      const { log, run, service } = createService();
      await run(service.startWave(request));
      const isComplete = () => {
        const read = service.readWave({ waveId: 1 });
        return read.isOk && read.value.isComplete;
      };
      assert.not(isComplete());
      for (const vm of request.vms) {
        assert.not(isComplete());
        for (const state of ["ordered", "done"] as const) {
          await run(log.propose([{ type: "upkeep", waveId: 1, vm, state }]));
        }
      }
      assert.ok(isComplete());
    });

    describe("whose number is known", () => {
      it("is acknowledged when it is sent again", async () => {
        const { agreement, run, service } = createService();
        for (let count = 0; count < 2; count += 1) {
          assert.ok((await run(service.startWave(request))).isOk);
        }
        assert.is(agreement.commands.length, 1);
      });

      it("is acknowledged when its VMs are named in another order", async () => {
        const { run, service } = createService();
        await run(service.startWave(request));
        const vms = request.vms.toReversed();
        assert.ok((await run(service.startWave({ ...request, vms }))).isOk);
      });

      // Guards against a wave that is complete without the maintenance of a VM:
      // a request was acknowledged whose VMs are not those of the wave.
      it("is refused when it names other VMs, limits or times", async () => {
        for (
          const change of [
            { vms: ["vm-1", "vm-3"] },
            { vms: ["vm-1"] },
            { vms: ["vm-1", "vm-2", "vm-3"] },
            { maxAwayCount: 2 },
            { completeWithinMs: 10_000 },
          ]
        ) {
          const { log, run, service } = createService();
          await run(service.startWave(request));
          const refused = await run(
            service.startWave({ ...request, ...change }),
          );
          assert.is(refused.isErr && refused.error.kind, "conflict");
          const wave = log.state.waves.get(request.waveId);
          assert.equal(wave?.vms, request.vms);
          assert.is(wave?.maxAwayCount, request.maxAwayCount);
        }
      });

      it("is refused when another one has been accepted meanwhile", async () => {
        const { log, run, service } = createService();
        const results = await run(Promise.all([
          service.startWave(request),
          service.startWave({ ...request, vms: ["vm-3"] }),
          service.startWave(request),
        ]));
        assert.equal(results.map(({ isOk }) => isOk), [true, false, true]);
        const refused = results[1];
        assert.is(refused?.isErr && refused.error.kind, "conflict");
        assert.equal(log.state.waves.get(1)?.vms, request.vms);
      });

      it("is compared by VMs and limit if the log has no time of it", async () => {
        const { log, run, service } = createService();
        const { completeWithinMs, ...wave } = request;
        const operation = { ...wave, completeByMs: completeWithinMs };
        await run(log.propose([{ type: "wave", ...operation }]));
        assert.ok((await run(service.startWave(request))).isOk);
        const other = { ...request, vms: ["vm-3"] };
        assert.ok((await run(service.startWave(other))).isErr);
      });
    });

    it("names each VM once", async () => {
      const { log, run, service } = createService();
      const vms = [...request.vms, ...request.vms];
      await run(service.startWave({ ...request, vms }));
      assert.equal(log.state.waves.get(1)?.vms, request.vms);
    });

    it("that does not exist is not found", () => {
      const { service } = createService();
      const read = service.readWave({ waveId: 7 });
      assert.is(read.isErr && read.error.kind, "notFound");
    });
  });
});
