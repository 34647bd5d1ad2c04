import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import * as assert from "uvu/assert";
import { SystemClock } from "../adapters/clock/index.ts";
import { StandInBackend } from "../stand_ins/index.ts";
import {
  afterEach,
  beforeEach,
  checkProcess,
  createPipelinedRequests,
  createUnfinishedRequest,
  type DaemonProcess,
  describe,
  findFreePort,
  it,
  runCommandLine,
  startDaemon,
  UncontrolledClients,
} from "../testing/index.ts";

const EXAMPLE_FILE = fileURLToPath(
  new URL("../../examples/quickstart.jsonc", import.meta.url),
);
const HOST = "127.0.0.1";
const HANG_GUARD_MS = 30_000;
const CALL_MS = 5_000;
const NODE_ARGUMENTS = ["--max-old-space-size=96", "--max-semi-space-size=2"];
/** Memory of an entry's machine, in MiB. */
const MEMORY_MIB = 250;
/** Descriptors of a process beside its clients' connections. */
const OWN_DESCRIPTOR_COUNT = 100;
const LIMITS = {
  maxConnectionCount: 1_200,
  maxHeldBytes: 16 * 1_024 * 1_024,
  maxPipelinedCount: 50,
  maxOpenRequestCount: 1_000,
  stallMs: 5_000,
};
const QUEUE_PATH = "/q/prices/x";
const HEAD = `POST ${QUEUE_PATH} HTTP/1.1\r\nhost: x`;

describe("clients that are not controlled", () => {
  const clock = new SystemClock();
  let folder: string;
  let daemon: DaemonProcess;
  let backend: StandInBackend;
  let clients: UncontrolledClients | undefined;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "cardamomsill-clients-"));
    const port = await findFreePort();
    const url = `http://${HOST}:${port}`;
    const settingsFile = join(folder, "entry.jsonc");
    await writeFile(
      settingsFile,
      JSON.stringify({
        connectionLimits: LIMITS,
        http: { port },
        peer: { port: 0 },
      }),
    );
    daemon = await startDaemon({
      folder,
      settingsFile,
      url,
      nodeArguments: NODE_ARGUMENTS,
    });
    const applied = await runCommandLine(["apply", "-f", EXAMPLE_FILE], {
      CARDAMOMSILL_URL: url,
      CARDAMOMSILL_KEY_FILE: join(folder, "data", "operator.key"),
    });
    assert.is(applied.exitCode, 0, applied.stderr);
    backend = new StandInBackend({
      backendServerId: "vm-2-runner",
      vm: "vm-2",
      workMs: 50,
      chooseEntryUrl: () => url,
    });
    await backend.start();
    await checkServes();
  });

  afterEach(async () => {
    clients?.close();
    await backend.stop();
    await daemon.kill();
    await rm(folder, { recursive: true });
  });

  /** Sends requests until one is answered with 200. */
  async function waitForAnswer(path: string): Promise<void> {
    const untilMs = clock.monotonicMs() + HANG_GUARD_MS;
    let last: unknown;
    while (clock.monotonicMs() < untilMs) {
      try {
        const answer = await request(`${daemon.url}${path}`, {
          signal: AbortSignal.timeout(CALL_MS),
        });
        await answer.body.dump();
        last = answer.statusCode;
      } catch (error) {
        last = error;
      }
      if (last === 200) {
        return;
      }
      await clock.sleep(100);
    }
    throw new Error(`${path} is not served: ${String(last)}`);
  }

  async function checkServes(): Promise<void> {
    await waitForAnswer("/readyz");
    await waitForAnswer(QUEUE_PATH);
  }

  async function checkLoad(
    connectionCount: number,
    createBytes: (index: number) => Buffer,
  ): Promise<void> {
    const port = Number(new URL(daemon.url).port);
    clients = new UncontrolledClients({ host: HOST, port, connectionCount });
    await clients.send(createBytes);
    const bounds = {
      peakMemoryMib: MEMORY_MIB,
      descriptorCount: LIMITS.maxConnectionCount + OWN_DESCRIPTOR_COUNT,
    };
    const during = await checkProcess(daemon.child, bounds);
    await checkServes();
    await checkProcess(daemon.child, bounds);
    clients.close();
    await checkServes();
    const after = await checkProcess(daemon.child, bounds);
    console.log(JSON.stringify({ during, after }));
  }

  it("leave bodies in large chunks unfinished", async () => {
    const body = { chunkBytes: 64_000, chunkCount: 4 };
    const bytes = createUnfinishedRequest(HEAD, body);
    await checkLoad(1_000, () => bytes);
  });

  it("leave bodies in small chunks unfinished", async () => {
    const body = { chunkBytes: 1, chunkCount: 100_000 };
    const bytes = createUnfinishedRequest(HEAD, body);
    await checkLoad(150, () => bytes);
  });

  it("read no answers to pipelined requests for a queue", async () => {
    await checkLoad(
      150,
      (index) => createPipelinedRequests(QUEUE_PATH, 20_000, index),
    );
  });

  it("read no answers to pipelined requests for the readiness", async () => {
    await checkLoad(
      150,
      (index) => createPipelinedRequests("/readyz", 20_000, index),
    );
  });
});
