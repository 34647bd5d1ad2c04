/**
 * `npm run quickstart`: starts one entry and two backend servers, and sends
 * requests to them. With `--stay` they run until interrupted.
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { StandInBackend } from "../stand_ins/index.ts";
import {
  type DaemonProcess,
  findFreePort,
  startDaemon,
} from "../testing/index.ts";
import { type QuickstartContext, runQuickstart } from "./steps.ts";

const EXAMPLE_FILE = fileURLToPath(
  new URL("../../examples/quickstart.jsonc", import.meta.url),
);
// A new coordinator first finds out which requests run, and slow machines need
// additional time.
const RESPONSE_TIMEOUT_MS = 30_000;
/** Exit code after SIGINT or SIGTERM. */
const INTERRUPTED_EXIT_CODE = 130;

async function main(): Promise<void> {
  const stay = process.argv.includes("--stay");
  // Handled before the daemon starts, so that Ctrl-C always stops the daemon.
  const interrupted = waitForInterrupt();
  const folder = await mkdtemp(join(tmpdir(), "cardamomsill-"));
  const daemon = await startQuickstartDaemon(folder);
  const backends = ["vm-1", "vm-2"].map((vm) =>
    new StandInBackend({
      backendServerId: `${vm}-runner`,
      vm,
      chooseEntryUrl: () => daemon.url,
    })
  );
  try {
    await Promise.all(backends.map((backend) => backend.start()));
    const context: QuickstartContext = {
      url: daemon.url,
      keyFile: join(folder, "data", "operator.key"),
      exampleFile: EXAMPLE_FILE,
      responseTimeoutMs: RESPONSE_TIMEOUT_MS,
    };
    process.exitCode = await Promise.race([
      runQuickstart(context),
      interrupted.then(() => INTERRUPTED_EXIT_CODE),
    ]);
    if (stay) {
      printNextSteps(context);
      await interrupted;
    }
  } finally {
    await Promise.all(backends.map((backend) => backend.stop()));
    await daemon.stop();
    await rm(folder, { recursive: true });
  }
}

async function startQuickstartDaemon(folder: string): Promise<DaemonProcess> {
  const port = await findFreePort();
  const settingsFile = join(folder, "entry.jsonc");
  await writeFile(
    settingsFile,
    JSON.stringify({ http: { port }, peer: { port: 0 } }),
  );
  return await startDaemon({
    folder,
    settingsFile,
    url: `http://127.0.0.1:${port}`,
  });
}

function printNextSteps({ url, keyFile }: QuickstartContext): void {
  process.stdout.write(
    `\nThe entry keeps running until you press Ctrl-C. Next, try in another terminal:
  export CARDAMOMSILL_URL=${url} CARDAMOMSILL_KEY_FILE=${keyFile}
  node dist/cli/main.js get team
  node dist/cli/main.js label zone zone-1 service=out
  node dist/cli/main.js explain queue/swings
  node dist/cli/main.js watch
`,
  );
}

function waitForInterrupt(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
}

await main();
