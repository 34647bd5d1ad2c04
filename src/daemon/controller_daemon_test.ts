import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import * as assert from "uvu/assert";
import { SystemClock } from "../adapters/clock/index.ts";
import { SeededRandom } from "../adapters/random/index.ts";
import { StandInPlatform } from "../stand_ins/index.ts";
import {
  afterEach,
  beforeEach,
  type DaemonProcess,
  describe,
  findFreePort,
  it,
  runCommandLine,
  startDaemon,
} from "../testing/index.ts";

const EXAMPLE_FILE = fileURLToPath(
  new URL("../../examples/quickstart.jsonc", import.meta.url),
);
const MOVE_DEADLINE_MS = 60_000;
const POLL_INTERVAL_MS = 500;

describe("daemon with a platform", () => {
  const clock = new SystemClock();
  let folder: string;
  let platform: StandInPlatform;
  let daemon: DaemonProcess;

  async function runCli(...args: string[]): Promise<string> {
    const result = await runCommandLine(args, {
      CARDAMOMSILL_URL: daemon.url,
      CARDAMOMSILL_KEY_FILE: join(folder, "data", "operator.key"),
    });
    assert.is(result.exitCode, 0, result.stderr);
    return result.stdout;
  }

  async function waitFor(args: string[], wanted: RegExp): Promise<string> {
    const deadlineMs = clock.monotonicMs() + MOVE_DEADLINE_MS;
    let output = await runCli(...args);
    while (!wanted.test(output) && clock.monotonicMs() < deadlineMs) {
      await clock.sleep(POLL_INTERVAL_MS);
      output = await runCli(...args);
    }
    assert.match(output, wanted);
    return output;
  }

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "cardamomsill-"));
    const random = new SeededRandom(6);
    platform = new StandInPlatform({ clock, random, rebootMs: 200 });
    platform.model.addVm("vm-1", "zone-1", "rack-1");
    platform.model.addVm("vm-2", "zone-1", "rack-2");
    await platform.start();
    const port = await findFreePort();
    const settingsFile = join(folder, "entry.jsonc");
    const settings = {
      http: { port },
      peer: { port: 0 },
      platformUrl: platform.url,
    };
    await writeFile(settingsFile, JSON.stringify(settings));
    const url = `http://127.0.0.1:${port}`;
    daemon = await startDaemon({ folder, settingsFile, url });
  });

  afterEach(async () => {
    await daemon.stop();
    await platform.stop();
    await rm(folder, { recursive: true });
  });

  it("plans, executes and explains the move of a VM", async () => {
    await runCli("apply", "-f", EXAMPLE_FILE);
    await waitFor(["explain", "vm/vm-1"], /adopt\.vm-1/);
    const planned = join(folder, "plan.jsonc");
    const vm = {
      kind: "vm",
      name: "vm-1",
      zone: "zone-1",
      rack: "rack-1",
      labels: { pool: "workshop" },
    };
    await writeFile(planned, JSON.stringify({ resources: [vm] }));
    const plan = await runCli("plan", "-f", planned);
    assert.match(
      plan,
      /1 VMs would be drained and rebooted, 1 of them at once/,
    );
    assert.match(plan, /vm\/vm-1 moves from pool\/studio to pool\/workshop/);
    await runCli("label", "vm", "vm-1", "pool=workshop");
    const moved = await waitFor(
      ["explain", "vm/vm-1"],
      /vm\/vm-1 serves in pool\/workshop/,
    );
    assert.match(moved, /because vm\/vm-1 labels = .*set by bootstrap/);
    assert.is(platform.model.reboots.length, 1);
    const pool = await runCli("explain", "pool/workshop");
    assert.match(pool, /maintenance of all is done by/);
    const zone = await runCli("explain", "zone/zone-1", "-o", "json");
    assert.match(zone, /zone\/zone-1 is in service with 2 VMs/);
  });
});
