/** `cardamomsill apply -f FILE`: declares the resources of a file. */
import { readFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import { Result } from "true-myth";
import * as v from "valibot";
import {
  acceptedChangeSchema,
  createFailure,
  type Failure,
  type Resource,
  resourceSchema,
  validateWith,
} from "../../domain/index.ts";
import { type ApiClient, statusSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { waitForRevision } from "../wait_for_revision.ts";

const fileSchema = v.strictObject({ resources: v.array(resourceSchema) });

/** Declares the resources of a file in a single change. */
export class ApplyCommand extends ApiCommand {
  static override paths = [["apply"]];
  static override usage = Command.Usage({
    description: "Declare the resources of a file in a single change.",
    examples: [
      ["Apply a file", "cardamomsill apply -f fleet.jsonc"],
      [
        "Wait until it is in force everywhere",
        "cardamomsill apply -f fleet.jsonc --wait",
      ],
    ],
  });

  file = Option.String("-f,--file", {
    required: true,
    description: "File with the resources: JSON with comments",
  });
  expectedRevision = Option.String("--expected-revision", {
    description:
      "Revision that the change is based on; the current one by default",
  });
  operationId = Option.String("--operation-id", {
    description:
      "Id of the change; reuse it to retry when the response was lost",
  });
  wait = Option.Boolean("--wait", false, {
    description:
      "Wait until every entry has the revision in force or starts no work",
  });
  waitDeadlineMs = Option.String("--wait-deadline-ms", "14000", {
    description: "Maximum time to wait, in milliseconds",
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const resources = await loadResources(this.file);
    if (resources.isErr) {
      return Result.err(resources.error);
    }
    const expectedRevision = await this.#findExpectedRevision(client);
    if (expectedRevision.isErr) {
      return Result.err(expectedRevision.error);
    }
    const accepted = await client.post("/v1/changes", {
      operationId: this.operationId ?? this.createOperationId(),
      expectedRevision: expectedRevision.value,
      puts: resources.value,
    }, acceptedChangeSchema);
    if (accepted.isErr) {
      return Result.err(accepted.error);
    }
    const { revision } = accepted.value;
    const text =
      `${resources.value.length} resources are in revision ${revision}\n`;
    return this.wait
      ? await this.#waitUntilInForce(client, revision, text)
      : Result.ok({ value: accepted.value, text });
  }

  async #waitUntilInForce(
    client: ApiClient,
    revision: number,
    text: string,
  ): Promise<Result<CommandOutput, Failure>> {
    const deadlineMs = Number(this.waitDeadlineMs);
    if (!(deadlineMs >= 0)) {
      return Result.err(
        createFailure(
          "invalidInput",
          `invalid --wait-deadline-ms '${this.waitDeadlineMs}'`,
          { remedy: "set it to a non-negative number of milliseconds" },
        ),
      );
    }
    const waited = await waitForRevision({ client, revision, deadlineMs });
    return waited.map((value) => ({
      value,
      text: `${text}in force at ${value.inForceAt.join(", ")}\n${
        value.lapsed.map((id) => `${id} has no lease and starts no work\n`)
          .join("")
      }`,
    }));
  }

  async #findExpectedRevision(
    client: ApiClient,
  ): Promise<Result<number, Failure>> {
    if (this.expectedRevision !== undefined) {
      return Result.ok(Number(this.expectedRevision));
    }
    const status = await client.get("/v1/status", statusSchema);
    return status.map(({ revision }) => revision);
  }
}

/**
 * Loads the resources of a file.
 *
 * @param file - Path of a JSON file with comments.
 * @returns The resources, or `invalidInput` with the file, the line or path of
 * the fault in it, and a remedy.
 */
export async function loadResources(
  file: string,
): Promise<Result<Resource[], Failure>> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (error) {
    return Result.err(
      createFailure("invalidInput", `--file ${file} cannot be read: ${error}`, {
        remedy: "set it to a readable file",
      }),
    );
  }
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  const first = errors[0];
  if (first !== undefined) {
    const line = text.slice(0, first.offset).split("\n").length;
    return Result.err(
      createFailure(
        "invalidInput",
        `${file}:${line}: ${printParseErrorCode(first.error)}`,
        {
          remedy: "write JSON; comments and trailing commas are allowed",
        },
      ),
    );
  }
  return validateWith(fileSchema, value, { subject: file }).map((
    { resources },
  ) => resources);
}
