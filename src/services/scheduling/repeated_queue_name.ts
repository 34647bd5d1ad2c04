/** The failure of a call that names one of several queues of the same name. */
import {
  createFailure,
  type Failure,
  formatQueueAddress,
  type JobQueue,
} from "../../domain/index.ts";

/**
 * Creates the failure.
 *
 * @param name - The name that the call gives.
 * @param queues - The queues of that name.
 * @returns `invalidInput`, with the addresses that tell them apart.
 */
export function createRepeatedQueueName(
  name: string,
  queues: readonly JobQueue[],
): Failure {
  const addresses = queues.map(formatQueueAddress).join(", ");
  return createFailure(
    "invalidInput",
    `${queues.length} queues are named ${name}`,
    { remedy: `use the address of one of them: ${addresses}` },
  );
}
