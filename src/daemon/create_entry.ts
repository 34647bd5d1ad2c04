/** Composes one entry: adapters, services and their tasks. */
import { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";
import { createAgreement } from "./create_agreement.ts";
import { createController } from "./create_controller.ts";
import { createFront } from "./create_front.ts";
import { createNetwork } from "./create_network.ts";
import { createPermits } from "./create_permits.ts";
import { createRecorder, createRequests } from "./create_requests.ts";
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
  const entry = await startServices(context);
  if (base.settings.peers.length > 0) {
    await network.value.start();
  }
  return Result.ok(entry);
}

async function startServices(context: EntryContext): Promise<Entry> {
  const recorder = createRecorder(context);
  const permitParts = createPermits(context);
  const requestParts = createRequests(context, recorder, permitParts.permits);
  const { directory } = permitParts;
  const controllerParts = createController({ context, recorder, directory });
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
      await recorder.flush();
      await context.tasks.stop();
      await requestParts.client.close();
    },
  };
}
