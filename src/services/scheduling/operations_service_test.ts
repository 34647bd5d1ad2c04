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

    it("that does not exist is not found", () => {
      const { service } = createService();
      const read = service.readWave({ waveId: 7 });
      assert.is(read.isErr && read.error.kind, "notFound");
    });
  });
});
