/** Messages between the controller and the platform, as JSON over HTTP. */
import * as v from "valibot";
import { platformTaskSchema, platformVmSchema } from "../../ports/index.ts";

/** Schema of the response that lists VMs. */
export const vmListSchema = v.object({ vms: v.array(platformVmSchema) });

/** Schema of the response that lists tasks. */
export const taskListSchema = v.object({ tasks: v.array(platformTaskSchema) });

/**
 * Schema of the body of a command. A command with an operation id that was used
 * before has no second effect.
 */
export const commandBodySchema = v.object({ operationId: v.string() });

/** Schema of the response to a command, which repeats its subject and id. */
export const commandAnswerSchema = v.object({
  subject: v.string(),
  operationId: v.string(),
});
