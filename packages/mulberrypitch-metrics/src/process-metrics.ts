/** Metrics of the process itself: memory, uptime, event loop and lost log lines. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {MetricsRegistry} from './registry.js';

/** Numbers of log lines that were not written since the start of the process. */
export type LogLosses = {
	/** Number of lines dropped because of a slow reader. */
	readonly droppedLines: number;
	/** Number of lines suppressed because their event exceeded its limit of lines per second. */
	readonly suppressedLines: number;
};

/**
Registers gauges for memory, uptime, utilization of the event loop, and log lines that were not written.

@example
```
addProcessMetrics(metrics, logger);
```
*/
export function addProcessMetrics(metrics: MetricsRegistry, logger: LogLosses): void {
	metrics.gauge('mulberrypitch_process_resident_bytes', 'Memory of the process.', () => process.memoryUsage.rss());
	metrics.gauge('mulberrypitch_process_up_seconds', 'Time since the process started.', () => process.uptime());
	metrics.gauge('mulberrypitch_event_loop_use', 'Part of the time since the start in which the event loop was busy.', () => performance.eventLoopUtilization().utilization);
	metrics.gauge('mulberrypitch_log_dropped_lines', 'Log lines that a slow reader cost.', () => logger.droppedLines);
	metrics.gauge('mulberrypitch_log_suppressed_lines', 'Log lines beyond the budget of their event.', () => logger.suppressedLines);
}
