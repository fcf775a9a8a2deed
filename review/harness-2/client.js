/** A stand-in for a client. */
import http from 'node:http';

/** Sends one request on a new connection and resolves with what came back, also after a broken connection. */
export async function send({host, port, method = 'POST', target, headers, body = '', timeoutMs = 16_000}) {
	return new Promise(resolve => {
		const result = {
			status: 0, headers: {}, body: '', isWhole: false, error: undefined,
		};
		const end = () => {
			clearTimeout(timer);
			resolve(result);
		};

		const request = http.request({
			host, port, method, path: target, agent: false, headers: {...headers, ...(body !== '' && {'Content-Length': new TextEncoder().encode(body).length})},
		}, response => {
			result.status = response.statusCode;
			result.headers = response.headers;
			response.setEncoding('utf8');
			response.on('data', text => {
				result.body += text;
			});
			response.on('end', () => {
				result.isWhole = response.complete;
				end();
			});
			response.on('error', error => {
				result.error = error.message;
				end();
			});
			response.on('close', end);
		});
		const timer = setTimeout(() => {
			result.error = 'the client gave up';
			request.destroy();
		}, timeoutMs);
		request.on('error', error => {
			result.error ??= error.message;
			end();
		});
		request.end(body);
	});
}
