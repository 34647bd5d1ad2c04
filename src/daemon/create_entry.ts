/** Composes one entry: adapters, services and their tasks. */
import { Result } from "true-myth";
import type { HttpServer } from "../adapters/http/index.ts";
import type { Failure } from "../domain/index.ts";
import type { Replica } from "../replication/index.ts";
import type { ClaimService, DecisionRecorder } from "../services/index.ts";
import { createAgreement } from "./create_agreement.ts";
import { createController } from "./create_controller.ts";
import { createFront } from "./create_front.ts";
import { createNetwork, startNetwork } from "./create_network.ts";
import { createPermits } from "./create_permits.ts";
import {
  createRecorder,
  createRequests,
  type RequestParts,
} from "./create_requests.ts";
import {
  createBase,
  createContext,
  type EntryContext,
  type EntryOptions,
} from "./entry_context.ts";

/** A running entry. */
export interface Entry {
  readonly httpPort: number;
  /** Refuses readiness, lets running requests end, then ends every task. */
  stop(): Promise<void>;
}

/**
 * Starts an entry.
 *
 * @param options - Settings, logger, and what to do on a fatal failure.
 * @returns The running entry, or why it cannot start.
 */
export async function createEntry(
  options: EntryOptions,
): Promise<Result<Entry, Failure>> {
  const base = createBase(options);
  const network = await createNetwork(base);
  if (network.isErr) {
    return Result.err(network.error);
  }
  const agreement = await createAgreement(base, network.value);
  if (agreement.isErr) {
    return Result.err(agreement.error);
  }
  const context = createContext(base, network.value, agreement.value);
  const entry = await startServices(context, agreement.value);
  const listening = await startNetwork(base, network.value);
  if (listening.isErr) {
    await entry.stop();
    return Result.err(listening.error);
  }
  return Result.ok(entry);
}

async function startServices(
  context: EntryContext,
  replica: Replica,
): Promise<Entry> {
  const recorder = createRecorder(context);
  const permitParts = createPermits(context);
  const requestParts = createRequests(context, recorder, permitParts);
  const { directory } = permitParts;
  const controllerParts = await createController({
    context,
    recorder,
    directory,
  });
  let isStopping = false;
  const front = await createFront({
    context,
    permitParts,
    requestParts,
    controllerParts,
    isStopping: () => isStopping,
  });
  const httpPort = await front.start();
  context.logger.info(
    { httpPort, revision: context.agreement.state.revision },
    "the entry serves",
  );
  return {
    httpPort,
    stop: async () => {
      isStopping = true;
      await replica.transferLeadership();
      await stopEntry({ context, front, recorder, requestParts });
      // Only now does no task write any more.
      await replica.close();
    },
  };
}

interface StopOptions {
  readonly context: EntryContext;
  readonly front: HttpServer;
  readonly recorder: DecisionRecorder;
  readonly requestParts: RequestParts;
}

// Readiness is refused already: the balancer needs a moment to notice it, and
// requests that still come in that moment are served.
async function stopEntry(options: StopOptions): Promise<void> {
  const { context, front, recorder, requestParts } = options;
  const { settings, clock, logger, tasks } = context;
  front.announceStop();
  await clock.sleep(settings.readinessGraceMs);
  const cutCount = await front.drain(settings.stopDeadlineMs);
  if (cutCount > 0) {
    logger.warn(
      { cutCount, stopDeadlineMs: settings.stopDeadlineMs },
      "requests still run at the stop deadline and are cut",
    );
  }
  await flushClaims(requestParts.claims);
  await recorder.flush();
  await tasks.stop();
  await requestParts.client.close();
}

// A settlement that is lost leaves its claim to run out as unknown.
async function flushClaims(claims: ClaimService): Promise<void> {
  let isDurable = true;
  while (isDurable && claims.pendingSettlementCount > 0) {
    isDurable = await claims.flush();
  }
}
