/** Composes the path of callers' requests. */
import { UndiciBackendClient } from "../adapters/backend/index.ts";
import {
  FractionRetryBudget,
  LabelAdmissionPolicy,
  OutlierHealthPolicy,
  WaitTimePolicy,
} from "../decisions/index.ts";
import type { BackendClient } from "../ports/index.ts";
import {
  AttemptRunner,
  BackendHealth,
  BodyLoader,
  ClaimService,
  DecisionRecorder,
  GuardedPermitSource,
  OutcomeRecorder,
  RequestHistory,
  RequestService,
} from "../services/index.ts";
import type { PermitServices } from "./create_permit_services.ts";
import type { EntryContext } from "./entry_context.ts";

// Permits bound the connections; this only bounds what a fault could open.
const RUN_ID_LENGTH = 8;

/** The parts that serve callers. */
export interface RequestServices {
  readonly recorder: DecisionRecorder;
  readonly history: RequestHistory;
  readonly client: BackendClient;
  readonly claims: ClaimService;
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
 * @param permitServices - The directory, and what hands out permits.
 * @returns The service and what it is built from.
 */
export function createRequestServices(
  context: EntryContext,
  recorder: DecisionRecorder,
  permitServices: PermitServices,
): RequestServices {
  const { clock, secrets, settings, tasks } = context;
  const { directory } = permitServices;
  const history = new RequestHistory();
  const claims = new ClaimService(context);
  tasks.startForever("claims", (signal) => claims.run(signal));
  const client = new UndiciBackendClient();
  const outcomes = new OutcomeRecorder({ ...context, recorder, history });
  const policy = new OutlierHealthPolicy();
  const attempts = new AttemptRunner({
    ...context,
    client,
    outcomes,
    entryCount: settings.peers.length + 1,
    signal: tasks.signal,
    permits: new GuardedPermitSource({
      permits: permitServices.permits,
      policy: new WaitTimePolicy(),
      clock,
    }),
    budget: new FractionRetryBudget(),
    health: new BackendHealth({ ...context, policy, directory, recorder }),
  });
  const requests = new RequestService({
    ...context,
    entryId: settings.entryId,
    admission: new LabelAdmissionPolicy(secrets),
    bodies: new BodyLoader({ clock }),
    attempts,
    claims,
    outcomes,
  });
  return { recorder, history, client, claims, requests };
}
