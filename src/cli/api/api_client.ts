/** The client of an entry's HTTP interface for operators. */
import { Result } from "true-myth";
import { request } from "undici";
import * as v from "valibot";
import {
  createFailure,
  type Failure,
  failureSchema,
  validateWith,
} from "../../domain/index.ts";

const CALL_TIMEOUT_MS = 30_000;

const errorBodySchema = v.object({ error: failureSchema });

/** Options of {@link ApiClient}. */
export interface ApiClientOptions {
  /** Address of any entry, such as `http://127.0.0.1:7070`. */
  readonly url: string;
  /** Secret of the operator's key. */
  readonly key: string;
}

/** Calls the operators' HTTP interface of one entry. */
export class ApiClient {
  readonly #options: ApiClientOptions;

  constructor(options: ApiClientOptions) {
    this.#options = options;
  }

  /**
   * Sends a GET request.
   *
   * @param path - Path below the entry's address.
   * @param schema - Schema of the response.
   * @returns The validated response, or the entry's failure.
   */
  async get<TSchema extends v.GenericSchema>(
    path: string,
    schema: TSchema,
  ): Promise<Result<v.InferOutput<TSchema>, Failure>> {
    return await this.#call("GET", path, undefined, schema);
  }

  /**
   * Sends a POST request.
   *
   * @param path - Path below the entry's address.
   * @param body - The body, which is sent as JSON.
   * @param schema - Schema of the response.
   * @returns The validated response, or the entry's failure.
   */
  async post<TSchema extends v.GenericSchema>(
    path: string,
    body: unknown,
    schema: TSchema,
  ): Promise<Result<v.InferOutput<TSchema>, Failure>> {
    return await this.#call("POST", path, body, schema);
  }

  /**
   * Sends a DELETE request.
   *
   * @param path - Path below the entry's address.
   * @param schema - Schema of the response.
   * @returns The validated response, or the entry's failure.
   */
  async delete<TSchema extends v.GenericSchema>(
    path: string,
    schema: TSchema,
  ): Promise<Result<v.InferOutput<TSchema>, Failure>> {
    return await this.#call("DELETE", path, undefined, schema);
  }

  /**
   * Reads a stream of JSON lines until the signal aborts or the entry ends it.
   *
   * @param path - Path below the entry's address.
   * @param signal - Ends the stream.
   * @returns The lines as they arrive.
   * @throws Error when the entry cannot be reached.
   */
  async *stream(path: string, signal: AbortSignal): AsyncGenerator<string> {
    const response = await request(`${this.#options.url}${path}`, {
      headers: this.#headers(),
      signal,
      bodyTimeout: 0,
    });
    let rest = "";
    for await (const chunk of response.body.setEncoding("utf8")) {
      const lines = `${rest}${chunk}`.split("\n");
      rest = lines.pop() ?? "";
      yield* lines;
    }
  }

  async #call<TSchema extends v.GenericSchema>(
    method: "GET" | "POST" | "DELETE",
    path: string,
    body: unknown,
    schema: TSchema,
  ): Promise<Result<v.InferOutput<TSchema>, Failure>> {
    try {
      const response = await request(`${this.#options.url}${path}`, {
        method,
        headers: this.#headers(),
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: CALL_TIMEOUT_MS,
      });
      const value: unknown = await response.body.json();
      const error = v.safeParse(errorBodySchema, value);
      return error.success
        ? Result.err(error.output.error)
        : validateWith(schema, value, {
          subject: "response",
          kind: "internal",
        });
    } catch (error) {
      return Result.err(
        createFailure(
          "peerUnreachable",
          `${this.#options.url} cannot be reached: ${error}`,
          {
            remedy:
              "set --url or CARDAMOMSILL_URL to the address of a running entry",
          },
        ),
      );
    }
  }

  #headers(): Record<string, string> {
    return {
      authorization: `Bearer ${this.#options.key}`,
      "content-type": "application/json",
    };
  }
}
