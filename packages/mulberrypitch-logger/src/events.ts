/** Catalogue of the log events. `docs/log-events.md` explains each event; a test compares the two. */

/** Severity of an event. */
export type Level = 'debug' | 'info' | 'warn' | 'error';

/** An entry of the catalogue: a number that identifies the event, its severity and its text. */
export type CataloguedEvent = {
	readonly number: number;
	readonly level: Level;
	readonly text: string;
};

/** All events, by name. A released number never changes. */
export const events = {
	hostStarted: {number: 1001, level: 'info', text: 'host started'},
	hostDraining: {number: 1002, level: 'info', text: 'host draining'},
	hostStopped: {number: 1003, level: 'info', text: 'host stopped'},
	settingsSignalled: {number: 1005, level: 'info', text: 'settings reload requested'},
	settingsRead: {number: 1007, level: 'info', text: 'settings read again'},
	settingsRefused: {number: 1008, level: 'warn', text: 'settings refused'},
	stopUnrecorded: {number: 1009, level: 'warn', text: 'stop not recorded'},
	stopShortened: {number: 1010, level: 'warn', text: 'stop shortened'},
	callFailed: {number: 1006, level: 'warn', text: 'call failed'},
	taskFailed: {number: 1004, level: 'error', text: 'background task failed'},
	peerRefused: {number: 1101, level: 'warn', text: 'peer refused'},
	peerProtocol: {number: 1102, level: 'warn', text: 'peer violated the protocol'},
	peerCertificateRefused: {number: 1103, level: 'warn', text: 'peer certificate refused'},
	leaderElected: {number: 1201, level: 'info', text: 'leader elected'},
	leaderStepped: {number: 1202, level: 'info', text: 'leader stepped down'},
	storageRecovered: {number: 1210, level: 'warn', text: 'storage writable again'},
	storageFailed: {number: 1203, level: 'error', text: 'storage failed'},
	groupFounded: {number: 1204, level: 'info', text: 'control group bootstrapped'},
	snapshotSaved: {number: 1205, level: 'info', text: 'snapshot saved'},
	snapshotInstalled: {number: 1206, level: 'info', text: 'snapshot installed'},
	membersChanged: {number: 1207, level: 'warn', text: 'voters changed'},
	storageSlow: {number: 1208, level: 'warn', text: 'storage slow'},
	recordsRefused: {number: 1209, level: 'error', text: 'audit records refused'},
	sessionOpened: {number: 1301, level: 'info', text: 'session opened'},
	sessionExpired: {number: 1302, level: 'warn', text: 'session expired'},
	viewStale: {number: 1303, level: 'warn', text: 'view stale'},
	configurationInForce: {number: 1304, level: 'info', text: 'configuration in force'},
	viewRejected: {number: 1305, level: 'error', text: 'view rejected'},
	sessionLost: {number: 1306, level: 'warn', text: 'session lost'},
	configurationAccepted: {number: 1307, level: 'info', text: 'configuration accepted'},
	coordinatorLost: {number: 1309, level: 'warn', text: 'gossip to coordinator failed'},
	joinRefused: {number: 1310, level: 'warn', text: 'request to join failed'},
	viewRegained: {number: 1311, level: 'info', text: 'view fresh'},
	dutiesTaken: {number: 1312, level: 'info', text: 'duty holder changed'},
	dutyPostponed: {number: 1313, level: 'warn', text: 'duty postponed'},
	usageReported: {number: 1314, level: 'info', text: 'usage reported'},
	backendRegistered: {number: 1401, level: 'info', text: 'back end registered'},
	backendLeaving: {number: 1402, level: 'info', text: 'back end leaving'},
	backendRemoved: {number: 1403, level: 'warn', text: 'back end removed'},
	contentQuarantined: {number: 1404, level: 'warn', text: 'content quarantined'},
	limitStated: {number: 1405, level: 'info', text: 'back end stated a limit'},
	statementUnreadable: {number: 1406, level: 'warn', text: 'statement of a back end unreadable'},
	pauseStated: {number: 1407, level: 'info', text: 'back end asked for a pause'},
	leaveAcknowledged: {number: 1408, level: 'info', text: 'leave acknowledged'},
	contentRestricted: {number: 1409, level: 'warn', text: 'content restricted'},
	backendsUnreachable: {number: 1410, level: 'warn', text: 'no back end reachable'},
	backendsReached: {number: 1411, level: 'info', text: 'back ends reachable again'},
	requestForwarded: {number: 1510, level: 'info', text: 'request passed on to another entry'},
	requestAccepted: {number: 1501, level: 'info', text: 'request accepted'},
	requestDispatched: {number: 1502, level: 'info', text: 'request dispatched'},
	requestFinished: {number: 1503, level: 'info', text: 'request finished'},
	requestRetried: {number: 1504, level: 'warn', text: 'request retried'},
	requestRefused: {number: 1505, level: 'info', text: 'request refused'},
	requestTakenOver: {number: 1506, level: 'warn', text: 'request taken over'},
	requestFailed: {number: 1507, level: 'warn', text: 'request failed'},
	requestInStop: {number: 1509, level: 'info', text: 'request arrived in a stop'},
	sendFailed: {number: 1508, level: 'warn', text: 'send to back end failed'},
	orderSent: {number: 1601, level: 'info', text: 'order sent'},
	orderFailed: {number: 1602, level: 'warn', text: 'order failed'},
	cloudFailed: {number: 1605, level: 'warn', text: 'platform did not answer'},
	fleetOrdered: {number: 1606, level: 'info', text: 'back ends ordered'},
	fleetOrderRefused: {number: 1607, level: 'warn', text: 'order for back ends not confirmed'},
	machineRefused: {number: 1603, level: 'warn', text: 'machine start refused'},
	weightsFailed: {number: 1604, level: 'warn', text: 'weight loading failed'},
} as const satisfies Record<string, CataloguedEvent>;
