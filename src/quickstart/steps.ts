/** The steps of the quickstart, each with the response that it expects. */
import process from "node:process";
import { request } from "undici";
import { SystemClock } from "../adapters/clock/index.ts";
import {
  DECISION_ID_HEADER,
  REQUEST_ID_HEADER,
} from "../adapters/http/index.ts";
import { runCommandLine } from "../testing/index.ts";

const RETRY_INTERVAL_MS = 100;

/** The entry and the files that the steps use. */
export interface QuickstartContext {
  readonly url: string;
  readonly keyFile: string;
  readonly exampleFile: string;
  /** How long a request is retried for the expected status, in milliseconds. */
  readonly responseTimeoutMs: number;
}

interface RequestOutcome {
  readonly status: number;
  readonly body: string;
  readonly requestId: string;
  readonly decisionId: string;
}

class StepFailedError extends Error {}

/**
 * Runs all steps and prints each response.
 *
 * @param context - The entry, the operator's key file and the example.
 * @returns The exit code: 0, or 1 after an unexpected response.
 */
export async function runQuickstart(
  context: QuickstartContext,
): Promise<number> {
  try {
    await runSteps(context);
    print("\nEvery step returned the expected response.");
    return 0;
  } catch (error) {
    if (!(error instanceof StepFailedError)) {
      throw error;
    }
    process.stderr.write(`${error.message}\n`);
    return 1;
  }
}

async function runSteps(context: QuickstartContext): Promise<void> {
  await runCli(context, ["apply", "-f", context.exampleFile]);
  const key = await runCli(context, [
    "key",
    "create",
    "fitting-1",
    "--team",
    "fitting",
  ]);
  const oldKey = await runCli(context, [
    "key",
    "create",
    "fitting-0",
    "--team",
    "fitting",
  ]);
  await runCli(context, ["key", "withdraw", "fitting-0"]);
  const ran = await expectStatus(
    context,
    "a good key",
    "/q/swings/analyse",
    key.trim(),
    200,
  );
  await expectStatus(
    context,
    "a wrong key",
    "/q/swings/analyse",
    "no-such-key",
    401,
  );
  const refused = await expectStatus(
    context,
    "a withdrawn key",
    "/q/swings/analyse",
    oldKey.trim(),
    401,
  );
  await expectStatus(
    context,
    "no key, on the open queue",
    "/q/prices/list",
    undefined,
    200,
  );
  await runCli(context, ["explain", `request/${ran.requestId}`]);
  await runCli(context, ["explain", `decision/${refused.decisionId}`]);
}

async function runCli(
  context: QuickstartContext,
  args: readonly string[],
): Promise<string> {
  print(`\n$ cardamomsill ${args.join(" ")}`);
  const result = await runCommandLine(args, {
    CARDAMOMSILL_URL: context.url,
    CARDAMOMSILL_KEY_FILE: context.keyFile,
  });
  print((result.stdout + result.stderr).trimEnd());
  if (result.exitCode !== 0) {
    throw new StepFailedError(
      `step '${args.join(" ")}' exited with ${result.exitCode}, expected 0`,
    );
  }
  return result.stdout;
}

async function expectStatus(
  context: QuickstartContext,
  title: string,
  path: string,
  key: string | undefined,
  expected: number,
): Promise<RequestOutcome> {
  print(`\nPOST ${path} with ${title}`);
  const clock = new SystemClock();
  const deadlineMs = clock.monotonicMs() + context.responseTimeoutMs;
  let sent = await send(context, path, key);
  // A backend server may not have announced itself yet.
  while (sent.status !== expected && clock.monotonicMs() < deadlineMs) {
    await clock.sleep(RETRY_INTERVAL_MS);
    sent = await send(context, path, key);
  }
  print(`${sent.status} ${sent.body.trimEnd()}`);
  if (sent.status !== expected) {
    throw new StepFailedError(
      `step '${title}' returned status ${sent.status}, expected ${expected}`,
    );
  }
  return sent;
}

async function send(
  context: QuickstartContext,
  path: string,
  key: string | undefined,
): Promise<RequestOutcome> {
  const response = await request(`${context.url}${path}`, {
    method: "POST",
    headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
    body: "driver, 9.5 degrees",
  });
  return {
    status: response.statusCode,
    body: await response.body.text(),
    requestId: String(response.headers[REQUEST_ID_HEADER]),
    decisionId: String(response.headers[DECISION_ID_HEADER]),
  };
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
