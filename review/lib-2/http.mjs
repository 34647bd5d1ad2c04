// One JSON request over a connection of its own.
import { request as httpRequest } from "node:http";

/**
 * Sends a request.
 *
 * @returns Status and parsed body; status 0 without a complete answer in time.
 */
export function call(
  method,
  address,
  path,
  { body, headers = {}, timeoutMs = 3000 } = {},
) {
  const [host, port] = address.split(":");
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    let isSettled = false;
    const settle = (answer) => {
      if (!isSettled) {
        isSettled = true;
        clearTimeout(timer);
        resolve(answer);
      }
    };
    const sent = httpRequest({
      method,
      host,
      port,
      path,
      agent: false,
      headers: {
        "content-type": "application/json",
        ...(text === undefined
          ? {}
          : { "content-length": Buffer.byteLength(text) }),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => settle({ status: 0 }));
      response.on("end", () => {
        const answered = Buffer.concat(chunks).toString("utf8");
        let parsed;
        try {
          parsed = JSON.parse(answered);
        } catch {
          parsed = undefined;
        }
        settle({ status: response.statusCode, body: parsed });
      });
    });
    const timer = setTimeout(() => {
      settle({ status: 0 });
      sent.destroy();
    }, timeoutMs);
    sent.on("error", () => settle({ status: 0 }));
    sent.end(text);
  });
}
