//! Checked reads of a batch, and the reply frame.

/// A fault in what came in: where, and what was expected there.
pub type Fault = String;

pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    batch: u32,
}

impl<'a> Reader<'a> {
    /// `at` is where the records begin in the frame.
    pub fn new(bytes: &'a [u8], at: usize, batch: u32) -> Self {
        Reader { bytes, at, batch }
    }

    pub fn fault(&self, expected: &str) -> Fault {
        format!("batch {}, byte {}: expected {expected}", self.batch, self.at)
    }

    pub fn is_at_end(&self) -> bool {
        self.at == self.bytes.len()
    }

    pub fn take(&mut self, len: usize, what: &str) -> Result<&'a [u8], Fault> {
        let end = self.at.checked_add(len).filter(|&end| end <= self.bytes.len());
        let end = end.ok_or_else(|| self.fault(&format!("{what} of {len} bytes")))?;
        let taken = &self.bytes[self.at..end];
        self.at = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], Fault> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N, what)?);
        Ok(array)
    }

    pub fn u8(&mut self, what: &str) -> Result<u8, Fault> {
        Ok(self.array::<1>(what)?[0])
    }

    pub fn u16(&mut self, what: &str) -> Result<u16, Fault> {
        self.array(what).map(u16::from_be_bytes)
    }

    pub fn u32(&mut self, what: &str) -> Result<u32, Fault> {
        self.array(what).map(u32::from_be_bytes)
    }

    pub fn u64(&mut self, what: &str) -> Result<u64, Fault> {
        self.array(what).map(u64::from_be_bytes)
    }

    pub fn f32(&mut self, what: &str) -> Result<f64, Fault> {
        let value = self.raw_f32(what)?;
        self.finite(value, what)
    }

    /// Also where it is not finite.
    pub fn raw_f32(&mut self, what: &str) -> Result<f64, Fault> {
        self.array(what).map(|bytes| f32::from_be_bytes(bytes).into())
    }

    pub fn f64(&mut self, what: &str) -> Result<f64, Fault> {
        let value = f64::from_be_bytes(self.array(what)?);
        self.finite(value, what)
    }

    fn finite(&self, value: f64, what: &str) -> Result<f64, Fault> {
        if value.is_finite() { Ok(value) } else { Err(self.fault(&format!("a finite {what}"))) }
    }
}

/// The reply to one batch, written as the decisions are made.
pub struct Reply(Vec<u8>);

impl Reply {
    pub fn new() -> Self {
        Reply(vec![0; 8])
    }

    pub fn record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.0.push(code);
        self.put(&instance.to_be_bytes())
    }

    pub fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.0.extend_from_slice(bytes);
        self
    }

    pub fn text(&mut self, text: &str) {
        let kept = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(&(kept.len() as u16).to_be_bytes()).put(kept);
    }

    pub fn mark(&self) -> usize {
        self.0.len()
    }

    pub fn cut_back(&mut self, mark: usize) {
        self.0.truncate(mark);
    }

    /// The whole frame; the buffer stays, for the next batch.
    pub fn finish(&mut self, batch: u32) -> &[u8] {
        let length = self.0.len() as u32;
        self.0[..4].copy_from_slice(&batch.to_be_bytes());
        self.0[4..8].copy_from_slice(&length.to_be_bytes());
        &self.0
    }

    pub fn clear(&mut self) {
        self.0.truncate(8);
    }
}
