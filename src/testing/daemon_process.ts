/** Starts daemon and CLI processes for the quickstart, tests and benchmarks. */
import { type ChildProcess, execFile, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { SystemClock } from "../adapters/clock/index.ts";

const DIST_FOLDER = fileURLToPath(new URL("../", import.meta.url));
const READY_DEADLINE_MS = 90_000;
const POLL_INTERVAL_MS = 50;
const LOG_NAME = "daemon.log";
const SHOWN_LOG_LENGTH = 1_500;

/** Options of {@link startDaemon}. */
export interface DaemonOptions {
  /** Working folder; holds the data folder and the log. */
  readonly folder: string;
  readonly settingsFile: string;
  /** URL of the daemon's HTTP interface. */
  readonly url: string;
  /** Further Node.js arguments. */
  readonly nodeArguments?: readonly string[];
}

/** A daemon process that this process started. */
export interface DaemonProcess {
  readonly url: string;
  readonly folder: string;
  readonly child: ChildProcess;
  /** Sends SIGTERM for a planned stop and returns the exit code. */
  stop(): Promise<number | null>;
  /** Kills the process and waits until it has exited. */
  kill(): Promise<void>;
}

/** Exit code and output of a CLI command. */
export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Starts a daemon and waits until it is ready.
 *
 * @param options - Folder, settings file and URL.
 * @returns The running daemon.
 * @throws Error when it exits or is not ready in time.
 */
export async function startDaemon(
  options: DaemonOptions,
): Promise<DaemonProcess> {
  const daemon = spawnDaemon(options);
  await waitUntilReady(daemon);
  return daemon;
}

/**
 * Starts a daemon without waiting until it is ready.
 *
 * @param options - Folder, settings file and URL.
 * @returns The started daemon.
 */
export function spawnDaemon(options: DaemonOptions): DaemonProcess {
  const main = join(DIST_FOLDER, "daemon", "main.js");
  const child = spawn(process.execPath, [
    ...(options.nodeArguments ?? []),
    main,
    "--settings",
    options.settingsFile,
  ], {
    cwd: options.folder,
    stdio: ["ignore", "pipe", "pipe"],
  });
  const log = createWriteStream(join(options.folder, LOG_NAME), {
    flags: "a",
  });
  child.stdout?.pipe(log, { end: false });
  child.stderr?.pipe(log, { end: false });
  const exited = once(child, "exit").then(([code]) => {
    log.end();
    return code as number | null;
  });
  return {
    url: options.url,
    folder: options.folder,
    child,
    stop: async () => {
      child.kill("SIGTERM");
      return await exited;
    },
    kill: async () => {
      child.kill("SIGKILL");
      await exited;
    },
  };
}

/**
 * Waits until a daemon is ready.
 *
 * @param daemon - The daemon.
 * @throws Error when it has exited or is not ready in time; the message
 * contains the end of its log.
 */
export async function waitUntilReady(daemon: DaemonProcess): Promise<void> {
  const clock = new SystemClock();
  const deadlineMs = clock.monotonicMs() + READY_DEADLINE_MS;
  while (clock.monotonicMs() < deadlineMs && daemon.child.exitCode === null) {
    if (await isReady(daemon.url)) {
      return;
    }
    await clock.sleep(POLL_INTERVAL_MS);
  }
  const log = await readLogEnd(daemon.folder);
  throw new Error(
    `the daemon at ${daemon.url} is not ready; its log ends:\n${log}`,
  );
}

async function readLogEnd(folder: string): Promise<string> {
  const text = await readFile(join(folder, LOG_NAME), "utf8");
  return text.slice(-SHOWN_LOG_LENGTH);
}

/**
 * Runs one CLI command.
 *
 * @param args - Command-line arguments.
 * @param env - Variables added to the environment of this process.
 * @returns Exit code and output.
 */
export function runCommandLine(
  args: readonly string[],
  env: Readonly<Record<string, string>>,
): Promise<CommandResult> {
  const main = join(DIST_FOLDER, "cli", "main.js");
  return new Promise((resolve) => {
    const options = { env: { ...process.env, ...env } };
    const child = execFile(
      process.execPath,
      [main, ...args],
      options,
      (_, stdout, stderr) => {
        resolve({ exitCode: child.exitCode ?? 1, stdout, stderr });
      },
    );
  });
}

async function isReady(url: string): Promise<boolean> {
  try {
    const response = await request(`${url}/readyz`);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
