/** `npm run quickstart`: one entry, two backend servers, real requests. */
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
import { runTour, type TourContext } from "./tour.ts";

const EXAMPLE_FILE = fileURLToPath(
  new URL("../../examples/quickstart.jsonc", import.meta.url),
);
const SETTLE_MS = 5_000;

async function main(): Promise<void> {
  const stay = process.argv.includes("--stay");
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
    const context: TourContext = {
      url: daemon.url,
      keyFile: join(folder, "data", "operator.key"),
      exampleFile: EXAMPLE_FILE,
      settleMs: SETTLE_MS,
    };
    process.exitCode = await runTour(context);
    if (stay) {
      await waitForInterrupt(context);
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

async function waitForInterrupt({ url, keyFile }: TourContext): Promise<void> {
  process.stdout.write(
    `\nThe entry stays up until you press Ctrl-C. Try next, in another terminal:
  export CARDAMOMSILL_URL=${url} CARDAMOMSILL_KEY_FILE=${keyFile}
  node dist/cli/main.js get team
  node dist/cli/main.js label zone zone-1 service=out
  node dist/cli/main.js explain queue/swings
  node dist/cli/main.js watch
`,
  );
  await new Promise<void>((resolve) => process.once("SIGINT", () => resolve()));
}

await main();
