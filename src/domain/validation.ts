/** Validation of input against schemas, with failures that name the path. */
import { Result } from "true-myth";
import * as v from "valibot";
import { createFailure, type ErrorKind, type Failure } from "./errors.ts";

/** Options of {@link validateWith}. */
export interface ValidateOptions {
  /** Kind of the failure for invalid input; `invalidInput` by default. */
  readonly kind?: ErrorKind;
  /** What is validated, for the failure message. */
  readonly subject: string;
}

/**
 * Validates unknown input against a schema.
 *
 * @param schema - Schema that the input must satisfy.
 * @param input - Input from a file, a caller or a peer.
 * @param options - Subject and kind of the failure.
 * @returns The typed value, or a failure that names the path of the first
 * invalid value, the value and the expected one.
 */
export function validateWith<TSchema extends v.GenericSchema>(
  schema: TSchema,
  input: unknown,
  options: ValidateOptions,
): Result<v.InferOutput<TSchema>, Failure> {
  const parsed = v.safeParse(schema, input);
  if (parsed.success) {
    return Result.ok(parsed.output);
  }
  const issue = parsed.issues[0];
  const path = v.getDotPath(issue) ?? "";
  const location = path === ""
    ? options.subject
    : `${options.subject}: ${path}`;
  return Result.err(
    createFailure(
      options.kind ?? "invalidInput",
      `${location} is ${issue.received}, expected ${
        issue.expected ?? "another value"
      }`,
      { path, remedy: issue.message },
    ),
  );
}
