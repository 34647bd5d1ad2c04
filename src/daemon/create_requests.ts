/** Composes the path of callers' requests. */
import { UndiciBackendClient } from "../adapters/backend/index.ts";
import { LabelAdmissionPolicy } from "../decisions/index.ts";
import type { BackendClient } from "../ports/index.ts";
import {
  DecisionRecorder,
  type PermitSource,
  RequestHistory,
  RequestService,
} from "../services/index.ts";
import type { EntryContext } from "./entry_context.ts";

const CONNECTIONS_PER_BACKEND = 8;
const RUN_ID_LENGTH = 8;

/** The parts that serve callers. */
export interface RequestParts {
  readonly recorder: DecisionRecorder;
  readonly history: RequestHistory;
  readonly client: BackendClient;
  readonly requests: RequestService;
}

/**
 * Creates the recorder of decisions.
 *
 * @param context - The context of the services.
 * @returns The recorder, with its task started.
 */
export function createRecorder(context: EntryContext): DecisionRecorder {
  const runId = context.random.nextId().slice(0, RUN_ID_LENGTH);
  const recorder = new DecisionRecorder({
    ...context,
    entryId: context.settings.entryId,
    runId,
  });
  context.tasks.startForever(
    "decision recorder",
    (signal) => recorder.run(signal),
  );
  return recorder;
}

/**
 * Creates the request service.
 *
 * @param context - The context of the services.
 * @param recorder - The recorder of decisions.
 * @param permits - Hands out permits.
 * @returns The service and what it is built from.
 */
export function createRequests(
  context: EntryContext,
  recorder: DecisionRecorder,
  permits: PermitSource,
): RequestParts {
  const history = new RequestHistory();
  const client = new UndiciBackendClient({
    connectionCount: CONNECTIONS_PER_BACKEND,
  });
  const admission = new LabelAdmissionPolicy(context.secrets);
  const requests = new RequestService({
    ...context,
    admission,
    permits,
    client,
    recorder,
    history,
  });
  return { recorder, history, client, requests };
}
