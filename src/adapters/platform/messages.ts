/** Messages between the controller and the platform, as JSON over HTTP. */
import * as v from "valibot";
import { platformTaskSchema, platformVmSchema } from "../../ports/index.ts";

/** Schema of the answer that lists VMs. */
export const vmListSchema = v.object({ vms: v.array(platformVmSchema) });

/** Schema of the answer that lists tasks. */
export const taskListSchema = v.object({ tasks: v.array(platformTaskSchema) });

/** Schema of the body of a command. */
export const commandBodySchema = v.object({ operationId: v.string() });

/** Schema of the answer to a command; it echoes what it answers. */
export const commandAnswerSchema = v.object({
  subject: v.string(),
  operationId: v.string(),
});
